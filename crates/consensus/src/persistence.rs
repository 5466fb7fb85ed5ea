//! Writing the state to disk, and the effects that are held back until it is durable.
use crate::action::Action;
use crate::message::Message;
use crate::node::Node;
use crate::role::Role;
use crate::write_batch::{HardState, WriteBatch};
use crate::write_queue::{DurableEffect, PendingWrite, StorageHealth, UnwrittenChanges};
use cluster_types::{Index, MemberId};

/// The maximum number of effects held back by one batch, per member.
const EFFECTS_PER_MEMBER: usize = 4;

impl Node {
    /// Sends a message once the current state is on disk; never if the storage has failed.
    pub(crate) fn send_when_durable(&mut self, to: &MemberId, message: Message) {
        self.storage.defer(DurableEffect::Send(to.clone(), message));
    }

    /// Whether another batch may be queued; if not, that is counted. Limits the queue when the disk is too slow.
    pub(crate) fn has_write_capacity(&mut self) -> bool {
        let has_capacity = self.storage.pending.len() < self.config.max_pending_writes;
        self.counters.over_capacity += u64::from(!has_capacity);
        has_capacity
    }

    /// Queues a batch with all unwritten changes and the effects that wait for it. Returns whether effects were released
    /// immediately, which may have caused further changes.
    pub(crate) fn flush_changes(&mut self, out: &mut Vec<Action>) -> bool {
        let changes = std::mem::take(&mut self.storage.unwritten);
        let mut effects = std::mem::take(&mut self.storage.effects);
        if !self.storage.is_healthy() {
            self.counters.storage_failed += effects.len() as u64;
            effects.clear();
        }
        let may_write = changes.rewrite_all || self.storage.health != StorageHealth::Failed;
        if !changes.is_empty() && may_write {
            let batch = self.build_batch(&changes);
            let last_index = self.log.last_position().index;
            self.storage.pending.push_back(PendingWrite { batch_id: batch.id, last_index, effects });
            out.push(Action::Persist(batch));
            return false;
        }
        let Some(last) = self.storage.pending.back_mut() else { return self.release(effects) };
        let capacity = (EFFECTS_PER_MEMBER * self.config.members.len()).saturating_sub(last.effects.len());
        self.counters.over_capacity += effects.len().saturating_sub(capacity) as u64;
        last.effects.extend(effects.into_iter().take(capacity));
        false
    }

    fn build_batch(&mut self, changes: &UnwrittenChanges) -> WriteBatch {
        let id = self.storage.next_batch_id;
        self.storage.next_batch_id += 1;
        let snapshot_index = self.log.snapshot.last.index;
        let (truncate_from, append_from, has_snapshot) = if changes.rewrite_all {
            self.storage.health = StorageHealth::Recovering { batch_id: id };
            (Some(1), Some(snapshot_index + 1), snapshot_index > 0)
        } else {
            let append_from = changes.append_from.map(|from| from.max(snapshot_index + 1));
            (changes.truncate_from, append_from, changes.snapshot)
        };
        let append = append_from.map_or_else(Vec::new, |from| self.log.slice(from, usize::MAX, usize::MAX));
        let hard_state =
            HardState { term: self.term, vote: self.vote.clone(), commit: Index(self.commit_index) };
        let snapshot = has_snapshot.then(|| self.log.snapshot.clone());
        WriteBatch { id, hard_state, truncate_from: truncate_from.map(Index), snapshot, append }
    }

    /// Carries out effects that were held back, except those of an earlier term, which are stale.
    fn release(&mut self, effects: Vec<DurableEffect>) -> bool {
        let has_effects = !effects.is_empty();
        for effect in effects {
            match effect {
                DurableEffect::Send(to, message) if message.term() == self.term => {
                    self.outbox.push((to, message));
                }
                // A pre-vote request states the term that the election would have, and commits its sender to nothing.
                DurableEffect::Send(to, message @ Message::PreVoteRequest { .. }) => {
                    self.outbox.push((to, message));
                }
                DurableEffect::OwnVote { term } if term == self.term && self.role == Role::Candidate => {
                    self.count_own_vote();
                }
                DurableEffect::Send(..) | DurableEffect::OwnVote { .. } => self.counters.stale += 1,
            }
        }
        has_effects
    }

    pub(crate) fn on_persisted(&mut self, batch_id: u64) {
        if !self.storage.is_pending(batch_id) {
            self.counters.unknown_batch += 1;
            return;
        }
        while let Some(write) = self.storage.pending.pop_front_if(|write| write.batch_id <= batch_id) {
            self.storage.durable_index = write.last_index;
            if self.storage.health == (StorageHealth::Recovering { batch_id: write.batch_id }) {
                self.storage.health = StorageHealth::Healthy;
            }
            self.release(write.effects);
        }
        if self.role == Role::Leader {
            self.advance_leader_commit();
        }
    }

    pub(crate) fn on_persist_failed(&mut self, batch_id: u64) {
        if !self.storage.is_pending(batch_id) {
            self.counters.unknown_batch += 1;
            return;
        }
        self.storage.health = StorageHealth::Failed;
        self.storage.pending.clear();
        if self.role != Role::Follower {
            self.become_follower(self.term, None);
        }
    }

    pub(crate) fn on_storage_recovered(&mut self) {
        if self.storage.health == StorageHealth::Failed {
            self.storage.unwritten.rewrite_all = true;
        } else {
            self.counters.unknown_batch += 1;
        }
    }
}
