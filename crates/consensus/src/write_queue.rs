//! The queue of batches to be written to disk, and the effects that each of them holds back.
use crate::message::Message;
use cluster_types::MemberId;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// An effect that is held back until a batch is on disk.
#[derive(Clone, Debug, Hash)]
pub(crate) enum DurableEffect {
    /// A message that relies on the state in the batch, such as a vote or an acknowledgement.
    Send(MemberId, Message),
    /// The candidate's vote for itself in this term.
    OwnVote { term: u64 },
}

/// What has changed since the last batch.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct UnwrittenChanges {
    pub(crate) hard_state: bool,
    pub(crate) truncate_from: Option<u64>,
    pub(crate) append_from: Option<u64>,
    pub(crate) snapshot: bool,
    /// Whether the whole state must be written again.
    pub(crate) rewrite_all: bool,
}

impl UnwrittenChanges {
    pub(crate) fn is_empty(&self) -> bool {
        !self.hard_state
            && self.truncate_from.is_none()
            && self.append_from.is_none()
            && !self.snapshot
            && !self.rewrite_all
    }
}

/// A batch that was passed to the host and has not been reported as written.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingWrite {
    pub(crate) batch_id: u64,
    /// The index of the last entry on disk once the batch is written.
    pub(crate) last_index: u64,
    pub(crate) effects: Vec<DurableEffect>,
}

/// The health of the disk, as the host reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum StorageHealth {
    Healthy,
    Failed,
    /// Healthy again once this batch is written.
    Recovering {
        batch_id: u64,
    },
}

/// The queue of a member's writes.
#[derive(Clone, Debug)]
pub(crate) struct WriteQueue {
    pub(crate) unwritten: UnwrittenChanges,
    pub(crate) next_batch_id: u64,
    pub(crate) pending: VecDeque<PendingWrite>,
    /// The greatest index up to which the log is on disk.
    pub(crate) durable_index: u64,
    pub(crate) health: StorageHealth,
    /// Effects that wait for the next batch.
    pub(crate) effects: Vec<DurableEffect>,
}

impl WriteQueue {
    pub(crate) fn new(durable_index: u64) -> WriteQueue {
        WriteQueue {
            unwritten: UnwrittenChanges::default(),
            next_batch_id: 1,
            pending: VecDeque::new(),
            durable_index,
            health: StorageHealth::Healthy,
            effects: Vec::new(),
        }
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.health == StorageHealth::Healthy
    }

    /// Whether a batch of this id is pending.
    pub(crate) fn is_pending(&self, batch_id: u64) -> bool {
        self.pending.iter().any(|write| write.batch_id == batch_id)
    }

    /// Records that the entries from `from` on were removed from the log.
    pub(crate) fn note_truncated(&mut self, from: u64) {
        let last = from.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.pending {
            write.last_index = write.last_index.min(last);
        }
        let unwritten = &mut self.unwritten;
        unwritten.truncate_from = Some(unwritten.truncate_from.map_or(from, |known| known.min(from)));
        unwritten.append_from = unwritten.append_from.filter(|append| *append < from);
    }

    /// Records that an entry was added at `index`.
    pub(crate) fn note_appended(&mut self, index: u64) {
        let append_from = &mut self.unwritten.append_from;
        *append_from = Some(append_from.map_or(index, |known| known.min(index)));
    }

    /// Records that the log has a new snapshot. If the log did not continue beyond it, the log's entries are gone.
    pub(crate) fn note_snapshot(&mut self) {
        self.unwritten.snapshot = true;
    }

    /// Records that the hard state has changed.
    pub(crate) fn note_hard_state(&mut self) {
        self.unwritten.hard_state = true;
    }

    /// Holds back an effect until the current state is on disk.
    pub(crate) fn defer(&mut self, effect: DurableEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn fingerprint(&self, hasher: &mut impl Hasher) {
        let is_failed = self.health == StorageHealth::Failed;
        (&self.unwritten, self.durable_index, self.is_healthy(), is_failed).hash(hasher);
        for write in &self.pending {
            (self.next_batch_id - write.batch_id, write.last_index, &write.effects).hash(hasher);
        }
    }
}
