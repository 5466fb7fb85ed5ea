//! Decisions of a gateway that orders and paces the I/O of many volumes.
//!
//! [`Scheduler`] is sans-I/O: it is told what happened and when, and answers with the actions to take.
//! See the README for a complete example and `docs/design.md` for the mechanism.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decide;
pub mod interface;
mod settings;
mod tools;
pub mod wire;

pub use decide::Scheduler;

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
