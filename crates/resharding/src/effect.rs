//! What applying a command brings about.
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};

/// A consequence of a command, for the host to log or act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A migration is in another phase.
    PhaseChanged {
        /// The migration.
        migration: Index,
        /// The name of its phase, or `ended`.
        phase: &'static str,
    },
    /// The placement has changed.
    RangePlaced {
        /// The volume.
        volume: Volume,
        /// The blocks.
        blocks: BlockRange,
        /// Their backend.
        backend: BackendId,
        /// The log index of the command that placed them.
        epoch: Index,
    },
    /// A range on a backend is free for others.
    RangeFreed {
        /// The backend.
        backend: BackendId,
        /// The volume.
        volume: Volume,
        /// The blocks.
        blocks: BlockRange,
    },
    /// A step can't begin any more.
    StepDropped {
        /// The step.
        step: u32,
        /// Why, for operators.
        reason: String,
    },
    /// The copy starts again, since what a member wrote is not known.
    CopyRestarted {
        /// The migration.
        migration: Index,
        /// The member.
        member: MemberId,
    },
}
