//! The core between a gateway's listeners and its backends.
//!
//! [`Dispatcher`] runs the [`scheduler`], keeps the table of open requests and their attempts, and makes
//! sure that each request gets exactly one final response. It is sans-I/O: it knows no protocol and reads
//! no clock, and what is to be done comes out as [`Effect`]s. The type parameter `T`, the ticket, is what a
//! listener needs to find its client again; `V` is its type of values.
mod attempt;
mod counters;
mod dispatcher;
mod request;

pub use attempt::{Attempt, AttemptEnd, Effect};
pub use counters::{AttemptCounters, Counters};
pub use dispatcher::{Capacity, Dispatcher};
pub use request::{Bytes, Extent, Request, Response};
