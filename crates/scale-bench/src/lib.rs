//! Measures how the costs of the project's parts grow with their size, so that a size to come is worked out from
//! measured slopes.
//!
//! **Units.** The unit is the last word of a figure's name: `us` microseconds and `ms` milliseconds, `s` seconds, `bytes`
//! bytes (`_entry` for each entry of the log, `_s` for each second, `_node` for each node or box). Processor time is of the
//! one thread that does the work, or of the whole process for `front` and `path`. Times named `sim` are simulated, all
//! others are of the machine that the report names. A *play* is one measurement under one seed; each figure of each play is kept.
//!
//! **What is real, and what is left out.**
//!
//! | part | real code | left out |
//! | --- | --- | --- |
//! | [`list`] | `scheduler::Scheduler` | the front's table of boxes and its mailboxes |
//! | [`file`](mod@file) | `config::from_env`, `Config::reload`, `Scheduler::reload` and its whole list | the front's table of boxes; nothing of the reading |
//! | [`targets`] | `config::targets` | HTTP and the socket; the sender, which is not the project's |
//! | [`members`](mod@members) | `membership::Membership` with `message-auth` | sockets: delay and loss are drawn |
//! | [`log`] | `consensus::Node`, `message-auth` and postcard for each message | sockets and disks, whose delays are drawn; the host's own frame round a message, of a few bytes |
//! | [`front`] | the program itself, as a process | traffic, discovery, other fronts |
//! | [`path`] | the program itself, as a process | disks: stand-in boxes take a fixed time for each read, and share their cores with clients of this tool |
//!
//! Nothing of a part is changed for the measurement. What a bound cut short is kept and marked as not whole.
#![allow(
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not revised yet: docs/ROADMAP.md"
)]
pub mod chart;
pub mod cpu;
mod error;
pub mod file;
pub mod files;
pub mod front;
pub mod list;
pub mod log;
pub mod machine;
pub mod members;
pub mod memory;
pub mod path;
pub mod plan;
pub mod process;
pub mod quantiles;
pub mod report;
pub mod slope;
pub mod targets;

pub use error::Error;
pub use plan::Plan;
pub use report::{Play, Report};
pub use slope::slope;
