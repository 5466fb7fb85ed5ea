//! What a host reports to a member.
use crate::message::Message;
use cluster_types::{Index, MemberId};
use std::sync::Arc;

/// An input of the state machine.
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
    /// The host wants to read everything that is committed by now.
    ReadBarrier {
        /// The host's id of the read barrier; returned with its outcome.
        ticket: u64,
    },
    /// A batch and all batches before it are on disk.
    Persisted {
        /// The id of the batch.
        batch_id: u64,
    },
    /// A batch could not be written, or it is not known whether it was. No later batch was written.
    PersistFailed {
        /// The id of the batch.
        batch_id: u64,
    },
    /// The disk can be written again.
    StorageRecovered,
    /// The host has taken a snapshot of the applied state.
    SnapshotTaken {
        /// The index of the last entry in it.
        last_index: Index,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
}
