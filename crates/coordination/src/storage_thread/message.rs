//! Messages to and from the storage thread.
use consensus::WriteBatch;

/// A request to write.
pub enum WriteRequest {
    /// A batch of the log.
    Batch(WriteBatch),
    /// The state that the maintenance agent persists. A later state replaces one that is not written yet.
    AgentState {
        /// Identifies the state; it increases with each one.
        serial: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReport {
    /// The batch with this id is durably on disk.
    BatchWritten(u64),
    /// The batch with this id failed to be written; it may or may not be on disk.
    BatchFailed(u64),
    /// The agent state with this serial is durably on disk.
    AgentStateWritten(u64),
    /// Writing to disk works again after a failure.
    Recovered,
}
