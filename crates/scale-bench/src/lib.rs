//! Measures how the costs of the project's components grow with their size, so that costs at larger
//! sizes can be predicted from measured slopes.
//!
//! **Units.** The unit is the last word of a figure's name: `us` microseconds and `ms` milliseconds, `s` seconds,
//! `bytes` bytes (`_entry` for each entry of the log, `_s` for each second, `_node` for each backend).
//! Processor time is of the one thread that does the work, or of the whole process for `front` and `path`.
//! Times named `sim` are simulated, all others are real times on the machine that the report names. A *run*
//! (`play` in the report) is one measurement under one seed; each figure of each run is kept.
//!
//! **What is real, and what is left out.**
//!
//! | component | real code | left out |
//! | --- | --- | --- |
//! | [`backend_list`] | `scheduler::Scheduler` | the gateway's table of backends and its mailboxes |
//! | [`config_file`] | `config::from_env`, `Config::reload`, `Scheduler::reload` and its full list | the gateway's table of backends; no part of reading the file |
//! | [`discovery`] | `config::targets` | HTTP and the socket; the sender, which is not the project's |
//! | [`membership_sim`] | `membership::Membership` with `message-auth` | sockets: delay and loss are random |
//! | [`consensus_sim`] | `consensus::Node`, `message-auth` and postcard for each message | sockets and disks, whose delays are random; the host's own frame around a message, of a few bytes |
//! | [`gateway_process`] | the gateway itself, as a process | traffic, discovery, other gateways |
//! | [`data_path`] | the gateway itself, as a process | disks: stub backends take a fixed time for each read, and share their cores with clients of this tool |
//!
//! Components are measured unmodified. A run that a limit cut short is kept and marked as incomplete.
#![allow(
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "long functions and error types still to be revised: docs/ROADMAP.md"
)]
pub mod backend_list;
pub mod chart;
pub mod child_process;
pub mod config_file;
pub mod consensus_sim;
pub mod cpu_time;
pub mod data_path;
pub mod discovery;
mod error;
pub mod gateway_process;
pub mod generated_config;
pub mod line_fit;
pub mod machine;
pub mod membership_sim;
pub mod memory;
pub mod plan;
pub mod quantiles;
pub mod report;

pub use error::Error;
pub use line_fit::fit_line;
pub use plan::Plan;
pub use report::{Report, Run};
