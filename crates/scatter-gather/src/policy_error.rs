//! What can be wrong with a `[[gather]]` table. The texts use the words of the configuration file.
use std::sync::Arc;
use thiserror::Error;

/// The longest name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// A key of a `[[gather]]` table that can't work, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {reason}")]
pub struct PolicyError {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    #[source]
    pub reason: PolicyErrorReason,
}

/// What is wrong with a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyErrorReason {
    /// A number of a piece or a volume is malformed.
    #[error("must be 16 hex digits")]
    MalformedId,
    /// A name is empty, too long, or has control characters.
    #[error("must have 1 to {max} characters that can be read", max = MAX_NAME_BYTES)]
    InvalidName,
    /// There are more tables than may be.
    #[error("there are more than {0}")]
    TooMany(usize),
    /// A name is used twice.
    #[error("{0:?} is there twice")]
    Duplicate(Arc<str>),
    /// Two gathers have the same piece of the same volume.
    #[error("is another gather's piece of the same volume")]
    PieceTaken,
    /// A shard request asks for a piece that is gathered itself.
    #[error("is gathered itself; parts are not")]
    NestedGather,
    /// There is no shard request.
    #[error("the tier is empty: one part at least is needed")]
    NoRequests,
    /// Two shard requests ask for the same.
    #[error("asks for the same as a part before it")]
    RepeatedRequest,
    /// A share is out of range.
    #[error("must be from 0 to 1")]
    ShareOutOfRange,
    /// A share that must not be 0 is out of range.
    #[error("must be above 0 and at most 1")]
    PositiveShareOutOfRange,
    /// Not every client protocol can mark an answer as partial, so every response is needed.
    #[error("must be \"all\": the wire has no words for a part-answer")]
    QuorumNeedsAll,
    /// Not every client protocol can mark an answer as partial.
    #[error("must be \"fail\": the wire has no words for a part-answer")]
    PartialResultsUnsupported,
    /// The class is not in the configuration.
    #[error("unknown class {0:?}")]
    UnknownClass(Arc<str>),
    /// The class writes.
    #[error("class {0:?} writes; bookings never gather")]
    ClassWrites(Arc<str>),
    /// The configuration does not say that the class only reads.
    #[error("the file must say that class {0:?} only reads")]
    ClassMayWrite(Arc<str>),
    /// The reply margin takes all of the class's deadline.
    #[error("must be below the class's deadline")]
    MarginTooLong,
    /// The quorum's table is empty.
    #[error("is empty: at_least, named or each_hall is needed, or \"all\"")]
    NoCondition,
    /// A number must not be 0.
    #[error("must be above 0")]
    Zero,
    /// More responses are needed than there are requests.
    #[error("is {needed} of {requests} parts")]
    QuorumTooLarge {
        /// The responses that are needed.
        needed: usize,
        /// The requests that there are.
        requests: usize,
    },
    /// A required response has no request.
    #[error("{0:?} is not a part")]
    UnknownRequest(Arc<str>),
    /// No response fits in the limit.
    #[error("no part fits in it")]
    NothingFits,
    /// The responses of a quorum don't fit in the limit.
    #[error("what suffices has up to {0} bytes")]
    QuorumDoesNotFit(u64),
    /// The range of blocks is empty.
    #[error("has no blocks")]
    NoBlocks,
    /// Both or neither of `piece` and `blocks` are there.
    #[error("one of piece and blocks is needed, not both")]
    PieceOrBlocks,
    /// Both or neither of `shard` and `box` are there.
    #[error("one of shard and box is needed, not both")]
    ShardOrBackend,
}
