//! The actions that the scheduler asks its caller to take.
use super::ids::{BackendId, Micros, RequestId};

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// How long to wait for the response; none: until the client gives up.
        timeout: Option<Micros>,
        /// When the attempt must have begun; after that it must not be executed.
        begin_by: Micros,
    },
    /// Final response: rejected; it is safe to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Micros>,
    },
    /// Final response: failed; the request may or may not have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for a timer event.
    SetTimer {
        /// From now.
        after: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribe to updates of the list of backends.
    Watch,
}
