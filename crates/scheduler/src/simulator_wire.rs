//! The simulator's wire: batches of events as JSON lines in, actions as JSON lines out.
//!
//! It maps the simulator's names to the types of [`interface`](crate::interface) and decides nothing. One
//! process hosts any number of scheduler instances, which share nothing.
mod actions;
mod adapter;
mod error;
mod events;
mod messages;
mod setup;

pub use adapter::run;
pub use error::{LineError, SetupError, WireError};
pub use setup::read_settings;

use crate::interface::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// A time on the wire, in seconds, as microseconds.
fn micros(seconds: f64) -> Micros {
    Micros((seconds * MICROS_PER_SECOND).round() as i64)
}

/// Microseconds as a time on the wire, in seconds.
fn seconds(time: Micros) -> f64 {
    time.0 as f64 / MICROS_PER_SECOND
}
