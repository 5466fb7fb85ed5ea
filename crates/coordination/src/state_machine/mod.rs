//! The replicated state machine: every member applies the same entries in the same order and has the same state. It reads no
//! clock and draws nothing at random.
mod applied_tickets;
mod entry;
mod machine;
mod snapshot;

pub use entry::{Command, Entry};
pub use machine::{Applied, CatalogueChange, StateMachine};
