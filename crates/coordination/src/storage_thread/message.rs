//! The messages to and from the thread that writes.
use consensus::WriteBatch;

/// What is to be written.
pub enum WriteRequest {
    /// A batch of the log.
    Batch(WriteBatch),
    /// What this member's part in maintenance must not forget. A later one replaces one that is not written yet.
    AgentState {
        /// Identifies the state; grows.
        serial: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReport {
    /// The batch with this id is on disk.
    BatchWritten(u64),
    /// The batch with this id is not on disk, or it is not known whether it is.
    BatchFailed(u64),
    /// The local state with this serial is on disk.
    AgentStateWritten(u64),
    /// The disk can be written again.
    Recovered,
}
