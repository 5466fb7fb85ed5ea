//! A chunk of blocks that a copier is working on.
use super::copy_task::CopyOperation;
use cluster_types::{BlockRange, Index, Time};

/// The state of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ChunkState {
    /// This operation is sent next.
    Pending(CopyOperation),
    InFlight {
        operation: CopyOperation,
        sent: Time,
    },
    /// The chunk is left alone until then.
    Delayed {
        until: Time,
    },
}

/// A run of blocks that are copied together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Chunk {
    pub(super) blocks: BlockRange,
    /// The last log index that was applied before the chunk was read.
    pub(super) read_index: Index,
    pub(super) state: ChunkState,
}
