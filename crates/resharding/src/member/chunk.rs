//! A chunk of blocks that a copier has in progress.
use super::copy_order::CopyWork;
use cluster_types::{BlockRange, Index, Time};

/// What happens to a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ChunkState {
    /// This work is to be done next.
    Pending(CopyWork),
    InFlight {
        work: CopyWork,
        sent: Time,
    },
    /// Not to be touched until then.
    Resting {
        until: Time,
    },
}

/// Blocks that are copied together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Chunk {
    pub(super) blocks: BlockRange,
    /// How far the log was applied before the chunk was read.
    pub(super) seen: Index,
    pub(super) state: ChunkState,
}
