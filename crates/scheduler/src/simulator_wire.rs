//! The simulator's wire protocol: batches of events in, actions out, both as JSON lines.
//!
//! It maps the simulator's names to the types of [`interface`](crate::interface) and makes no decisions. One
//! process hosts any number of scheduler instances, which share no state.
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

/// Converts a wire time, in seconds, to microseconds.
fn micros(seconds: f64) -> Micros {
    Micros((seconds * MICROS_PER_SECOND).round() as i64)
}

/// Converts microseconds to a wire time, in seconds.
fn seconds(time: Micros) -> f64 {
    time.0 as f64 / MICROS_PER_SECOND
}
