//! The effects of applying a command.
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};

/// An effect of a command, for the host to log or act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A migration has changed its phase.
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
    /// A range on a backend is free for reuse.
    RangeFreed {
        /// The backend.
        backend: BackendId,
        /// The volume.
        volume: Volume,
        /// The blocks.
        blocks: BlockRange,
    },
    /// A step was dropped because its range is not on the source backend, or source and target are the same.
    StepDropped {
        /// The step.
        step: u32,
        /// Why, for operators.
        reason: String,
    },
    /// The copy restarts because the writes of a revoked member are unknown, or a deposed migrator may have overwritten
    /// copied blocks.
    CopyRestarted {
        /// The migration.
        migration: Index,
        /// The member.
        member: MemberId,
    },
}
