//! The tasks that make up a copy, and their results.
use cluster_types::{BackendId, BlockRange, Index, Time, Volume};

/// An operation on a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CopyOperation {
    /// Read the blocks and keep the data under the token.
    Read,
    /// Write the data kept under the token.
    Write,
    /// Read the blocks and compare them with the data kept under the token.
    Compare,
}

/// One operation of a copy. The host checks the deadline again immediately before it sends the operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CopyTask {
    /// The migration.
    pub migration: Index,
    /// The assignment.
    pub assignment: Index,
    /// Identifies the chunk.
    pub token: u64,
    /// The operation.
    pub operation: CopyOperation,
    /// The backend.
    pub backend: BackendId,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The operation must not be sent at this time or later.
    pub deadline: Time,
}

/// The result of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyResult {
    /// The operation completed. A comparison found no difference.
    Done,
    /// A comparison found a difference.
    Differs,
    /// It did not run and will not.
    Refused,
    /// It may have run or may still run.
    Unknown,
}
