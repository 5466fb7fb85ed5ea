//! The gateway: actors on real sockets around the `scheduler`. `docs/ARCHITECTURE.md` has the overview.
#![allow(
    clippy::let_underscore_must_use,
    reason = "closed channels only end a wait, and text is written to strings"
)]
pub mod admin;
pub mod backend;
pub mod client;
pub mod clock;
pub mod command_line;
pub mod config_overlay;
pub mod context;
pub mod coordination;
pub mod counters;
pub mod counts;
pub mod diagnostics;
pub mod discovery;
pub mod iscsi;
pub mod lifecycle;
pub mod limits;
pub mod log;
pub mod messages;
pub mod net;
pub mod scatter_gather;
pub mod scheduler_actor;
