//! The core between fronts and peers. It runs the decision module, keeps the table of requests and their
//! attempts, and sees to it that each request gets exactly one final answer. It knows no wire and reads no
//! clock: time is an argument. `T` is whatever the front needs to find its client again, `V` what it calls a value.
mod attempt;
mod counters;
mod request;
mod table;

pub use attempt::{Attempt, Effect, Ended};
pub use counters::Counters;
pub use request::{Answer, Bytes, Extent, Request};
pub use table::{Bound, Core};
