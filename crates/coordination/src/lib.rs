//! Hosts of what fronts settle among themselves: sockets, threads, disk. They drive the machines of the other packages
//! and meet the front through two mailboxes; none of its threads is the front's.
//!
//! Threads: one for the sockets (membership and frames), one for the log with all that follows from it, one that
//! writes to the disk. Each has its own state; between them are bounded mailboxes.
mod apply;
pub mod calls;
pub mod changes;
mod clock;
mod core;
pub mod disk;
pub mod frames;
pub mod ledger;
pub mod links;
mod mail;
mod net;
mod settings;
mod start;
pub mod store;
mod turn;

pub use mail::{Call, Measures, Seen, ToAccord, ToFront, Told};
pub use settings::{Fellow, Settings};
pub use start::{start, Handle};
