//! The replicated state machine: every member applies the same entries in the same order and so has the same state. It uses
//! neither clocks nor random numbers.
mod applied_tickets;
mod entry;
mod machine;
mod snapshot;

pub use entry::{Command, Entry};
pub use machine::{Applied, CatalogueChange, StateMachine};
