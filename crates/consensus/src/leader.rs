//! The leader's own log: adding entries and committing them.
use crate::action::{Action, Rejection};
use crate::entry::{Entry, Payload, ENTRY_OVERHEAD_BYTES};
use crate::leader_state::LeaderState;
use crate::node::Node;
use crate::progress::Progress;
use crate::role::Role;
use cluster_types::Time;
use std::sync::Arc;

impl Node {
    pub(crate) fn become_leader(&mut self) {
        let bootstrap = self.proposed_bootstrap.take();
        self.role = Role::Leader;
        self.leader = Some(self.config.own_id.clone());
        self.votes.clear();
        if bootstrap.is_some() && self.log.last_position().index > 0 {
            self.truncate_log(1);
        }
        let next_index = self.log.last_position().index + 1;
        let followers = self.config.members.iter().filter(|member| **member != self.config.own_id);
        let progress = followers.map(|member| (member.clone(), Progress::new(None, next_index))).collect();
        self.leader_state = LeaderState::new(progress, self.now);
        self.election_at = self.now + self.config.max_election_timeout;
        if let Some(incarnations) = bootstrap {
            self.append_entry(Payload::Bootstrap(incarnations));
        } else {
            self.leader_state.noop_index = Some(self.append_entry(Payload::Noop));
        }
        self.start_round();
    }

    /// Appends an entry of the current term to the leader's log and returns its index. The leader's own acknowledgement counts
    /// once the entry is on disk.
    pub(crate) fn append_entry(&mut self, payload: Payload) -> u64 {
        let index = self.log.next_index();
        self.log.push(Entry { index, term: self.term, payload });
        self.storage.note_appended(index.0);
        index.0
    }

    /// Starts the next heartbeat round, or steps down if no quorum answers (check-quorum) or the bootstrap takes too long.
    pub(crate) fn tick_leader(&mut self) {
        if self.now < self.heartbeat_at {
            return;
        }
        let answered_at = self.leader_state.round_start(self.quorum_round()).unwrap_or(Time(0));
        let quorum_at = answered_at.max(self.leader_state.elected_at);
        let has_lost_quorum = self.now.since(quorum_at) > self.config.max_election_timeout;
        if has_lost_quorum || (!self.is_bootstrapped() && self.now >= self.election_at) {
            self.become_follower(self.term, None);
        } else {
            self.start_round();
        }
    }

    pub(crate) fn on_propose(&mut self, ticket: u64, data: Arc<[u8]>) {
        match self.check_proposal(data.len() + ENTRY_OVERHEAD_BYTES) {
            Ok(()) => {
                let index = self.append_entry(Payload::Data(data));
                self.leader_state.proposals.insert(index, ticket);
                self.replicate_to_all();
            }
            Err(reason) => self.deferred_actions.push(Action::Rejected { ticket, reason }),
        }
    }

    /// Whether an entry that takes `memory_bytes` may be proposed now.
    fn check_proposal(&mut self, memory_bytes: usize) -> Result<(), Rejection> {
        if !self.storage.is_healthy() {
            return Err(Rejection::StorageFailed);
        }
        if self.role != Role::Leader || !self.is_bootstrapped() {
            let leader = self.leader.clone().filter(|leader| *leader != self.config.own_id);
            return Err(Rejection::NotLeader(leader));
        }
        if memory_bytes > self.config.max_message_bytes {
            return Err(Rejection::TooLarge);
        }
        let is_full = self.log.len() >= self.config.max_log_entries
            || self.log.memory_bytes() + memory_bytes > self.config.max_log_bytes
            || self.leader_state.proposals.len() >= self.config.max_pending_proposals;
        if is_full || !self.has_write_capacity() {
            self.counters.over_capacity += 1;
            return Err(Rejection::AtCapacity);
        }
        Ok(())
    }

    /// Commits the entries that a quorum has on disk. Only an entry of the leader's own term is committed by counting; earlier ones
    /// are committed along with it (section 5.4.2 of the Raft paper). The bootstrap entry needs all members.
    pub(crate) fn advance_leader_commit(&mut self) {
        let durable_index = self.storage.durable_index;
        let reached_by = |count| {
            let incarnations = self.log.incarnations();
            self.leader_state
                .quorum_value(incarnations, count, durable_index, |progress| progress.durable_index)
        };
        if !self.is_bootstrapped() {
            if reached_by(self.config.members.len()) >= 1 {
                self.commit_up_to(1);
                self.leader_state.noop_index = Some(self.append_entry(Payload::Noop));
                self.replicate_to_all();
            }
            return;
        }
        let index = reached_by(self.config.quorum());
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_up_to(index);
            self.announce_commit();
            self.answer_read_barriers();
        }
    }
}
