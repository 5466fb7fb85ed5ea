//! Orders to copy blocks, and how they end.
use cluster_types::{BackendId, BlockRange, Index, Time, Volume};

/// What is to be done at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CopyWork {
    /// Read the blocks and keep them under the token.
    Read,
    /// Write what is kept under the token.
    Write,
    /// Read the blocks and compare them with what is kept under the token.
    Compare,
}

/// An order to copy. The host checks the time again right before it sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CopyOrder {
    /// The migration.
    pub migration: Index,
    /// The assignment.
    pub assignment: Index,
    /// Identifies the chunk.
    pub token: u64,
    /// What to do.
    pub work: CopyWork,
    /// The backend.
    pub backend: BackendId,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// It must not be sent after this.
    pub deadline: Time,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyResult {
    /// It ran; a comparison found no difference.
    Done,
    /// A comparison found a difference.
    Differs,
    /// It did not run, nor will.
    Refused,
    /// It may have run, or may yet.
    Unknown,
}
