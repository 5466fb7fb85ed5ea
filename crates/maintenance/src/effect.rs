//! What applying a command brings about.
use crate::command::CommandLabel;
use crate::rejection::Rejection;
use crate::status::RequestStatus;
use cluster_types::{BackendId, Index};
use std::collections::BTreeSet;

/// A consequence of a command, for the host to report or log. The orders for members are read from the state instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The status of a request, for the issuer of the command.
    Status(RequestStatus),
    /// The command changed nothing.
    Rejected {
        /// The command.
        command: CommandLabel,
        /// Why.
        reason: Rejection,
    },
    /// All members have to drain these backends.
    Drain {
        /// The grant.
        grant: Index,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// All members have drained the backends: the operator may open them.
    Drained {
        /// The grant.
        grant: Index,
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// A backend recovers, by the quotas of this step.
    Recovering {
        /// The backend.
        backend: BackendId,
        /// The recovery step.
        step: Index,
        /// The stage; none before the first.
        stage: Option<usize>,
    },
    /// A backend is in service again.
    InService {
        /// The backend.
        backend: BackendId,
    },
    /// The deadline has passed and these backends will not be granted.
    DeadlineMissed {
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// Backends have been open for longer than requested. They still count as out of service.
    Overdue {
        /// The grant.
        grant: Index,
        /// The request.
        name: String,
        /// The backends.
        backends: BTreeSet<BackendId>,
    },
    /// A waiting backend is no longer listed and will not be granted.
    Unlisted {
        /// The request.
        name: String,
        /// The backend.
        backend: BackendId,
    },
    /// Nothing of a request is open any more.
    Ended(RequestStatus),
}
