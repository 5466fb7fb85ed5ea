//! Test support: several gateway processes, fake backends, discovery, and links that can fail. Fault
//! schedules are drawn from seeds that are printed. Checks are based on what backends, discovery and clients
//! have logged, not on the speed of the machine. Only processes that were started here are ever signalled.
#![allow(
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "long functions and error types still to be revised: docs/ROADMAP.md"
)]
pub mod admin_client;
pub mod backends;
pub mod checks;
pub mod clients;
pub mod cluster;
pub mod cluster_config;
pub mod discovery;
pub mod event_log;
pub mod gateway_process;
pub mod links;
pub mod loopback;
mod outages;
pub mod runtime;
pub mod schedule;
mod schedule_runner;
pub mod simulated_callers;
pub mod syscall_faults;
mod tcp_forwarder;
pub mod templates;
mod udp_forwarder;
