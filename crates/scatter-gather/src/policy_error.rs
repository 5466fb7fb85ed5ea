//! Errors in a `[[gather]]` table. Messages use the configuration file's key names.
//!
//! The messages about request classes also reach operators as reasons why a gateway rejected distributed settings. Their
//! wording must not change.
use std::sync::Arc;
use thiserror::Error;

/// The maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// An invalid key of a `[[gather]]` table, and why it is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {reason}")]
pub struct PolicyError {
    /// The key, as a path from the table that was checked.
    pub key: String,
    /// Why it is invalid.
    #[source]
    pub reason: PolicyErrorReason,
}

/// Why a key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyErrorReason {
    /// A piece or volume id is malformed.
    #[error("must be 16 hex digits")]
    MalformedId,
    /// A name is empty, too long, or contains control characters.
    #[error("must have 1 to {max} bytes and no control characters", max = MAX_NAME_BYTES)]
    InvalidName,
    /// There are too many tables.
    #[error("must have at most {0} entries")]
    TooMany(usize),
    /// A name is used twice.
    #[error("duplicate name {0:?}")]
    Duplicate(Arc<str>),
    /// Two gathers are for the same piece of the same volume.
    #[error("another gather has the same piece and volume")]
    DuplicatePiece,
    /// A shard request is for a piece that is itself gathered.
    #[error("refers to another gather; gathers must not be nested")]
    NestedGather,
    /// There are no shard requests.
    #[error("must have at least one entry")]
    NoRequests,
    /// Two shard requests are for the same data.
    #[error("requests the same data as an earlier part")]
    RepeatedRequest,
    /// A fraction is out of range.
    #[error("must be between 0 and 1")]
    ShareOutOfRange,
    /// A fraction that must not be 0 is out of range.
    #[error("must be above 0 and at most 1")]
    PositiveShareOutOfRange,
    /// A quorum is allowed only if every client protocol can mark an answer as partial.
    #[error("must be \"all\": a client protocol cannot mark partial answers")]
    QuorumNeedsAll,
    /// Partial results are allowed only if every client protocol can mark an answer as partial.
    #[error("must be \"fail\": a client protocol cannot mark partial answers")]
    PartialResultsUnsupported,
    /// The class is not in the configuration.
    #[error("unknown class {0:?}")]
    UnknownClass(Arc<str>),
    /// Requests of the class write.
    #[error("class {0:?} writes; bookings never gather")]
    ClassWrites(Arc<str>),
    /// The configuration does not declare the class read-only.
    #[error("the file must say that class {0:?} only reads")]
    ClassMayWrite(Arc<str>),
    /// The reply margin is not below the class's deadline.
    #[error("must be below the class's deadline")]
    MarginTooLong,
    /// The quorum table has no condition.
    #[error("needs at_least, named or each_hall, or must be \"all\"")]
    NoCondition,
    /// A number is 0 where it must be positive.
    #[error("must be above 0")]
    Zero,
    /// The quorum needs more responses than there are requests.
    #[error("needs {needed} responses of {requests} parts")]
    QuorumTooLarge {
        /// The number of responses needed.
        needed: usize,
        /// The number of requests.
        requests: usize,
    },
    /// A required name is not the name of a request.
    #[error("no part has the name {0:?}")]
    UnknownRequest(Arc<str>),
    /// Every request's response limit exceeds the total limit.
    #[error("is below the limit of every part")]
    BelowEveryResponseLimit,
    /// The responses of the smallest quorum may exceed the total limit.
    #[error("is below the {0} bytes that a quorum may need")]
    BelowQuorumSize(u64),
    /// The block range is empty.
    #[error("the block range is empty")]
    NoBlocks,
    /// Both or neither of `piece` and `blocks` are set.
    #[error("exactly one of piece and blocks must be set")]
    PieceOrBlocks,
    /// Both or neither of `shard` and `box` are set.
    #[error("exactly one of shard and box must be set")]
    ShardOrBackend,
}
