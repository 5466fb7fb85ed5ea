//! Events: what a host reports to a member.
use crate::message::Message;
use cluster_types::{Index, MemberId};
use std::sync::Arc;

/// An input to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The incarnation of the sender's store.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The host proposes an entry.
    Propose {
        /// The host's id of the proposal; returned with its outcome.
        ticket: u64,
        /// The bytes of the entry.
        data: Arc<[u8]>,
    },
    /// The host wants to read a state that includes everything committed so far.
    ReadBarrier {
        /// The host's id of the read barrier; returned with its outcome.
        ticket: u64,
    },
    /// This batch and all earlier ones are on disk.
    Persisted {
        /// The id of the batch.
        batch_id: u64,
    },
    /// A batch could not be written, or may not have been. No later batch was written.
    PersistFailed {
        /// The id of the batch.
        batch_id: u64,
    },
    /// The disk is writable again.
    StorageRecovered,
    /// The host has taken a snapshot of the applied state.
    SnapshotTaken {
        /// The index of the last entry in it.
        last_index: Index,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
}
