//! The pace of calls to one service that a whole fleet calls, such as discovery. Free of I/O: times are microseconds of one
//! steady clock, handed in, and randomness comes from a seed.
//!
//! Two things have to hold at once, for any number of callers. The **clock**: what the service had to tell and could be
//! asked for counts as told [`TOLD`] later, whatever calls failed before. The **sum**: the service handles calls in turn and
//! turns away what would wait too long, which costs it work too. Callers that come again faster than it can turn them away
//! keep it busy with nothing else, and none of them is ever answered.
//!
//! So what a failure tells decides the pause ([`Failure`]), and the clock alone decides how far pauses may grow ([`Law`]).
#![deny(missing_docs)]

mod caller;
mod law;

pub use caller::{Call, Caller};
pub use law::{Failure, Law, BESIDE, LIVENESS, TOLD, TURN};
