//! The leader's view of each follower's replication state.
use std::collections::VecDeque;

/// How entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReplicationMode {
    /// Where the logs diverge is unknown: one message at a time.
    Probe { awaits_response: bool },
    /// Messages are pipelined, without waiting for the answers.
    Replicate,
    /// Chunks of the snapshot that ends at `last_index`, one at a time.
    Snapshot { last_index: u64, offset: u64, awaits_response: bool },
}

/// The replication to one follower.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Progress {
    /// The incarnation under which the follower last answered.
    pub(crate) incarnation: Option<u64>,
    /// The index up to which the logs agree.
    pub(crate) matched_index: u64,
    /// The index up to which the follower has acknowledged entries as durable, under that incarnation.
    pub(crate) durable_index: u64,
    /// The next entry to send.
    pub(crate) next_index: u64,
    pub(crate) mode: ReplicationMode,
    /// The last index of each unanswered message.
    pub(crate) inflight: VecDeque<u64>,
    /// The latest heartbeat round that the follower has answered in a way that counts for the quorum.
    pub(crate) round: u64,
    /// The commit index last sent to the follower.
    pub(crate) sent_commit_index: u64,
}

impl Progress {
    pub(crate) fn new(incarnation: Option<u64>, next_index: u64) -> Progress {
        Progress {
            incarnation,
            matched_index: 0,
            durable_index: 0,
            next_index,
            mode: ReplicationMode::Probe { awaits_response: false },
            inflight: VecDeque::new(),
            round: 0,
            sent_commit_index: 0,
        }
    }

    /// Sends one message from `next_index` on, to find out where the logs diverge.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.inflight.clear();
        self.mode = ReplicationMode::Probe { awaits_response: false };
    }
}
