//! The reasons for which a plan or a piece file is rejected.
use super::cluster_view::CapacityError;
use cluster_types::{BackendId, BlockRange, Volume};
use thiserror::Error;

/// A problem and the key in the file where it was found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}")]
pub struct PlanError {
    /// The key in the file, such as `place[2].blocks`.
    pub key: String,
    /// The problem.
    pub problem: PlanProblem,
}

impl PlanError {
    pub(super) fn new(key: impl Into<String>, problem: PlanProblem) -> PlanError {
        PlanError { key: key.into(), problem }
    }
}

/// What is wrong with a plan. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanProblem {
    /// The file is malformed.
    #[error("{0}")]
    Syntax(String),
    /// A text is missing or empty.
    #[error("must be a text that is not empty")]
    EmptyText,
    /// A range of blocks is empty.
    #[error("{0} holds no block")]
    EmptyRange(String),
    /// A text is not a range of blocks.
    #[error("{0} is not of the form \"first..end\"")]
    NotARange(String),
    /// A text is not a volume.
    #[error("{0} is not a volume: 16 hex digits")]
    NotAVolume(String),
    /// A number is not a count within its limits.
    #[error("{0} can't be kept: it must be from 1 to 1024")]
    NotACount(String),
    /// A number is not a share.
    #[error("{0} can't be kept: a share is from 0.001 to 1")]
    NotAShare(String),
    /// An order of migrations between zones that does not exist.
    #[error("must be \"exports-first\", \"last\" or \"never\"")]
    UnknownCrossZoneOrder,
    /// The plan has too many places.
    #[error("names more than {0} places")]
    TooManyTargets(usize),
    /// The file has too many pieces.
    #[error("maps more than {0} pieces")]
    TooManyPieces(usize),
    /// A piece overlaps another one.
    #[error("{blocks} of {volume} overlaps with another piece")]
    OverlappingPiece {
        /// The blocks of the piece.
        blocks: BlockRange,
        /// Its volume.
        volume: Volume,
    },
    /// A name is used twice.
    #[error("{0} is named twice")]
    NamedTwice(String),
    /// No backend has this name.
    #[error("no box is known as {0}")]
    UnknownBackend(String),
    /// Several backends have this name.
    #[error("{name} stands for {count} boxes")]
    AmbiguousBackend {
        /// The name.
        name: String,
        /// How many backends have it.
        count: usize,
    },
    /// A backend is named in two ways.
    #[error("{name} is the box that was named {earlier} before")]
    BackendAlias {
        /// The name.
        name: String,
        /// The name that was used before.
        earlier: String,
    },
    /// A backend is to be emptied and to get blocks.
    #[error("{0} is to be emptied and filled")]
    EmptiedAndFilled(BackendId),
    /// No such volume is under placement.
    #[error("no volume {0} is known")]
    UnknownVolume(Volume),
    /// Two places of the plan overlap.
    #[error("{blocks} of {volume} overlaps with place[{other}]")]
    OverlappingTarget {
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
        /// The number of the other place.
        other: usize,
    },
    /// The plan places a volume, but not all of its blocks.
    #[error("leaves a gap: {blocks} of {volume} has no place")]
    Gap {
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
    },
    /// A place goes beyond the end of its volume.
    #[error("{volume} has only {blocks} blocks")]
    BeyondVolume {
        /// The volume.
        volume: Volume,
        /// Its size.
        blocks: u64,
    },
    /// A backend would exceed its capacity or rate.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// Blocks would have to leave their zone.
    #[error("can't be kept: {blocks} of {volume} has to go from {from} to {to} in another hall ({key})")]
    LeavesZone {
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
        /// Their present backend.
        from: BackendId,
        /// Their wanted backend.
        to: BackendId,
        /// The key of the plan that wants them there.
        key: String,
    },
    /// The copy rate of a backend would be zero.
    #[error(
        "can't be kept: that share of what {backend} can do beyond reservations is nothing, so that {blocks} of {volume} would never move"
    )]
    NoCopyRate {
        /// The backend.
        backend: BackendId,
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
    },
    /// No backend can hold the blocks of a backend that is to be emptied.
    #[error("no box has room and reserves for {blocks} of {volume} on {from}")]
    NoBackendFits {
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
        /// The backend that is to be emptied.
        from: BackendId,
    },
    /// Migrations would wait for each other's capacity.
    #[error("{blocks} of {volume} can't go from {from} to {to}: there is no room yet, and no third place has room to break the circle")]
    CircularWait {
        /// The blocks.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
        /// Their present backend.
        from: BackendId,
        /// Their wanted backend.
        to: BackendId,
    },
}
