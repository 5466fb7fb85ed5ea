//! Calls of operators and their responses.
use cluster_types::{BackendId, MemberId};
use std::collections::BTreeSet;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Asks for the status of this member and the group.
    Status,
    /// Requests maintenance of backends.
    RequestMaintenance {
        /// The name of the request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
        /// How long each may be out, in milliseconds.
        work_ms: u64,
        /// The Unix time in milliseconds after which no maintenance of them begins.
        deadline_ms: Option<u64>,
        /// Whether maintenance of all begins at once, or of none.
        all_at_once: bool,
    },
    /// Asks for the status of a request.
    RequestStatus {
        /// The name of the request.
        name: String,
    },
    /// Withdraws a request.
    Withdraw {
        /// The name of the request.
        name: String,
    },
    /// Reports that a backend of a request is in its place again.
    Returned {
        /// The name of the request.
        name: String,
        /// The backend.
        backend: BackendId,
    },
    /// Reports that all backends of a request are in their places again.
    Done {
        /// The name of the request.
        name: String,
    },
    /// Declares that a member is dead that did not leave: it counts as having left.
    DeclareDead {
        /// The member.
        member: MemberId,
    },
    /// Orders configuration changes; the response is their version.
    ChangeConfig(config_distribution::WriteBatch),
}

/// The response to a call, with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The call succeeded.
    Done(String),
    /// There is no such thing.
    NotFound(String),
    /// The call cannot be granted.
    Rejected(String),
    /// The call was not settled in time and may still be. Repeating it under the same name is safe.
    Unsettled(String),
}

/// Where the response to a call goes.
pub(crate) type ResponseSender = async_channel::Sender<OperatorResponse>;

/// Sends the response. A caller that has stopped waiting has dropped the other end; its channel holds one response, and
/// each call has one, so there is nothing else to handle.
pub(crate) fn respond(to: &ResponseSender, response: OperatorResponse) {
    drop(to.try_send(response));
}
