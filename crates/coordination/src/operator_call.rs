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
        /// How long work on each backend may take once it is drained, in milliseconds.
        work_ms: u64,
        /// The Unix time in milliseconds after which their maintenance may no longer begin.
        deadline_ms: Option<u64>,
        /// Whether maintenance begins for all backends at once or not at all.
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
    /// Reports that a backend of a request is back in place.
    Returned {
        /// The name of the request.
        name: String,
        /// The backend.
        backend: BackendId,
    },
    /// Reports that all backends of a request are back in place.
    Done {
        /// The name of the request.
        name: String,
    },
    /// Declares dead a member that stopped without leaving: it is then treated as having left.
    DeclareDead {
        /// The member.
        member: MemberId,
    },
    /// Submits configuration changes; the response is their version.
    ChangeConfig(config_distribution::WriteBatch),
}

/// The response to a call, with the text for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The call succeeded.
    Done(String),
    /// The subject of the call does not exist.
    NotFound(String),
    /// The call was rejected.
    Rejected(String),
    /// The outcome was not known in time; the call may still take effect. Repeating it under the same name is safe.
    Unsettled(String),
}

/// The channel for the response to a call.
pub(crate) type ResponseSender = async_channel::Sender<OperatorResponse>;

/// Sends the response. A caller that has stopped waiting has dropped the other end; its channel holds one response, and
/// each call gets one, so sending cannot fail otherwise.
pub(crate) fn respond(to: &ResponseSender, response: OperatorResponse) {
    drop(to.try_send(response));
}
