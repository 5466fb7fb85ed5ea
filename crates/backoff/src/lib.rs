//! Backoff of calls to one service that a whole fleet calls, such as discovery.
//!
//! Free of I/O: times are microseconds of one steady clock that the caller hands in, and randomness comes from a
//! seed.
//!
//! Two bounds have to hold at once, for any number of callers. *Staleness*: a change that the service has
//! published, and that could be requested, must be known [`MAX_STALENESS_US`] later, whatever calls failed before.
//! *Load*: the service handles calls one after the other and rejects what would wait too long, which costs it work
//! too. Callers that retry faster than it can reject them keep it busy with nothing else, and none of them is ever
//! served.
//!
//! So the kind of failure decides the pause ([`Failure`]), and the staleness bound alone decides how long pauses
//! may grow ([`BackoffPolicy`]). Calls without a response are hedged by a second one.

mod caller;
mod policy;

pub use caller::{Call, Caller};
pub use policy::{
    BackoffPolicy, Failure, PauseWindow, HEDGE_DELAY_US, IDLE_TIMEOUT_US, MAX_RESPONSE_US, MAX_STALENESS_US,
};
