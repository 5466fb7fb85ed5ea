//! The actions that the scheduler returns to its caller.
use super::ids::{BackendId, Micros, RequestId};

/// An action for the caller to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt to a backend.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// How long to wait for the response; `None` to wait until the client times out.
        timeout: Option<Micros>,
        /// When the attempt must have begun; it must not be executed after that.
        begin_by: Micros,
    },
    /// Send the final response "rejected": the client can safely try again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Micros>,
    },
    /// Send the final response "failed": the request may or may not have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer, whose expiry is reported as an event.
    SetTimer {
        /// The time from now until the timer expires.
        after: Micros,
        /// Passed back in [`Event::TimerFired`](super::Event::TimerFired).
        token: u64,
    },
    /// Subscribe to updates of the backend list.
    Watch,
}
