//! Reasons why a command was rejected, or why a request waits.
use crate::bound::Bound;
use crate::rules::RulesError;
use cluster_types::BackendId;
use thiserror::Error;

/// Why a command changed nothing, or why a batch is not granted now. The messages are part of the operator interface.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The log entry has already been applied.
    #[error("was applied before")]
    AlreadyApplied,
    /// The state that the command refers to has changed since.
    #[error("came too late: the state has changed since")]
    Superseded,
    /// There is no such request, grant, backend or member.
    #[error("is not known")]
    NotFound,
    /// A different request has this name.
    #[error("the name stands for another wish")]
    NameTaken,
    /// One of [`crate::limits`] is reached.
    #[error("no more can be held")]
    LimitReached,
    /// The command is empty, or larger than [`crate::limits`] allow.
    #[error("asks for nothing, or for too much")]
    InvalidSize,
    /// Discovery does not list the backend.
    #[error("box {0} is not listed")]
    NotListed(BackendId),
    /// The backend is already granted, or still recovering.
    #[error("box {0} is out, or still comes back")]
    UnderMaintenance(BackendId),
    /// The measurements that the grant depends on are too old.
    #[error("measures are too old")]
    StaleMeasurements,
    /// No member is running that could drain the backends.
    #[error("no front is known to serve")]
    NoMemberPresent,
    /// A member's report came from another member.
    #[error("only the front itself can say so")]
    NotOwnReport,
    /// The member is not running.
    #[error("the front is not present")]
    MemberNotPresent,
    /// The grant would exceed this bound.
    #[error("{0}")]
    BoundExceeded(Bound),
    /// The request of this name has waited longer and has priority.
    #[error("wish {0} has waited longer")]
    QueuedBehind(String),
    /// The quotas exceed what the recovery stage allows.
    #[error("the parts are more than the stage gives")]
    StageExceeded,
    /// The backend has not recovered, or is not at its last stage.
    #[error("the box is not warm, or not at its last stage")]
    NotRecovered,
    /// The rules contradict each other.
    #[error(transparent)]
    InvalidRules(#[from] RulesError),
}
