//! Backoff of calls to one service that a whole fleet calls, such as discovery.
//!
//! It does no I/O: times are microseconds on one monotonic clock and are passed in, and randomness comes from a
//! seed.
//!
//! Two bounds must hold at once, for any number of callers. *Staleness*: once the service has published a change
//! and can be called, the change must be known within [`MAX_STALENESS_US`], whatever calls failed before.
//! *Load*: the service handles calls one after the other and rejects those that would wait too long, which costs
//! work too. Callers that retry faster than the service can reject them keep it busy with rejections alone, and
//! none of them is ever served.
//!
//! The pause therefore depends on the kind of failure ([`Failure`]), and only the staleness bound limits how long
//! pauses grow ([`BackoffPolicy`]). A call without a response is hedged by a second one.

mod caller;
mod policy;

pub use caller::{Call, Caller};
pub use policy::{
    BackoffPolicy, Failure, PauseWindow, HEDGE_DELAY_US, IDLE_TIMEOUT_US, MAX_RESPONSE_US, MAX_STALENESS_US,
};
