//! The effects of applying a command.
use crate::command::CommandLabel;
use crate::rejection::Rejection;
use crate::status::RequestStatus;
use cluster_types::{BackendId, Index};
use std::collections::BTreeSet;

/// An effect of a command, for the host to report or log. Members' orders are read from the state instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The status of a request, for the issuer of the command.
    Status(RequestStatus),
    /// The command was rejected and changed nothing.
    Rejected {
        /// The rejected command.
        command: CommandLabel,
        /// Why it was rejected.
        reason: Rejection,
    },
    /// All members must drain these backends.
    Drain {
        /// The grant.
        grant: Index,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// All members have drained the backends: the operator may start work on them.
    Drained {
        /// The grant.
        grant: Index,
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// A recovery step begins, and the quotas of this step apply.
    Recovering {
        /// The backend.
        backend: BackendId,
        /// The recovery step.
        step: Index,
        /// The stage; `None` before the first.
        stage: Option<usize>,
    },
    /// A backend is in service again.
    InService {
        /// The backend.
        backend: BackendId,
    },
    /// The request's deadline has passed, and these backends will not be granted.
    DeadlineMissed {
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// Work on backends takes longer than requested. They still count as out of service.
    Overdue {
        /// The grant.
        grant: Index,
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// Discovery no longer lists a waiting backend, and it will not be granted.
    Unlisted {
        /// The request.
        name: String,
        /// The backend.
        backend: BackendId,
    },
    /// No backend of a request is waiting or granted any more.
    RequestEnded(RequestStatus),
}
