//! Admission control, pacing and ordering of the I/O of many volumes, for one gateway.
//!
//! [`Scheduler`] is sans-I/O: its caller passes it events, each with the time at which it happened, and
//! receives the actions to take. See the README for a complete example and `docs/design.md` for the
//! mechanism.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decaying_sum;
pub mod interface;
mod rng;
mod scheduler;
pub mod simulator_wire;
mod time;
mod validation;

pub use scheduler::{KnownCounts, Scheduler};

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
