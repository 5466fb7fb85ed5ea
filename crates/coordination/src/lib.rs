//! Hosts of what fronts settle among themselves: sockets, threads, disk. They drive the machines of the other packages
//! and meet the front through two mailboxes; none of its threads is the front's.
//!
//! Threads: one for the sockets (membership and frames), one for the log with all that follows from it, one that
//! writes to the disk. Each has its own state; between them are bounded mailboxes.
mod clock;
pub mod distribution;
pub mod frame;
mod gateway_message;
pub mod log_thread;
pub mod network_thread;
mod settings;
mod start;
pub mod state_machine;
pub mod storage_thread;

pub use gateway_message::{Call, Measures, Seen, ToAccord, ToFront, Told};
pub use settings::{Fellow, Settings};
pub use start::{start, Handle};
