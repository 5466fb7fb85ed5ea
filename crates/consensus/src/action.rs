//! Actions: what a member requests of its host.
use crate::message::Message;
use crate::role::Role;
use crate::write_batch::WriteBatch;
use cluster_types::{Index, MemberId};
use std::sync::Arc;

/// Why a proposal or a read barrier was not served.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// This member does not lead; the leader is named where it is known.
    NotLeader(Option<MemberId>),
    /// The log, the proposal queue or the write queue is full; a later attempt may succeed.
    AtCapacity,
    /// The proposal exceeds the maximum message size.
    TooLarge,
    /// The leader stepped down; the proposal may still be committed.
    LeadershipLost,
    /// This member's storage has failed.
    StorageFailed,
}

/// An instruction to the host. Actions are to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to another member.
    Send {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Write a batch to disk, then report `Persisted` or `PersistFailed`.
    Persist(WriteBatch),
    /// Apply a committed data entry. Indices increase, with gaps at the log's internal entries.
    Apply {
        /// The index of the entry.
        index: Index,
        /// The term of the entry.
        term: u64,
        /// The proposed bytes.
        data: Arc<[u8]>,
    },
    /// Replace the applied state with a snapshot.
    Restore {
        /// The index of the last entry in the snapshot.
        index: Index,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
    /// A proposal of this host is committed. Follows the `Apply` of its entry.
    Committed {
        /// The host's id of the proposal.
        ticket: u64,
        /// The index of the entry.
        index: Index,
    },
    /// Everything that was committed when the read barrier was requested has been applied.
    Readable {
        /// The host's id of the read barrier.
        ticket: u64,
        /// The commit index that the barrier confirms.
        index: Index,
    },
    /// A proposal or a read barrier is not served.
    Rejected {
        /// The host's id of the proposal or read barrier.
        ticket: u64,
        /// The reason.
        reason: Rejection,
    },
    /// The role, the term or the leader has changed.
    RoleChanged {
        /// The role of this member.
        role: Role,
        /// Its term.
        term: u64,
        /// The leader that it follows, if any.
        leader: Option<MemberId>,
    },
    /// The log has grown long: take a snapshot and report it as `SnapshotTaken`.
    SnapshotRequested {
        /// The snapshot must contain the entries up to at least this one.
        last_index: Index,
    },
}
