//! The leader's lease and read barriers. Both are based on heartbeat rounds that a quorum has answered.
use crate::action::{Action, Rejection};
use crate::leader_state::ReadBarrier;
use crate::node::Node;
use crate::role::Role;
use cluster_types::{Index, Time};

impl Node {
    /// The latest heartbeat round that a quorum has answered.
    pub(crate) fn quorum_round(&self) -> u64 {
        let state = &self.leader_state;
        let quorum = self.config.quorum();
        state.quorum_value(self.log.incarnations(), quorum, state.round, |progress| progress.round)
    }

    /// Whether this member leads and has committed an entry of its own term, so that it knows everything that is committed.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        let noop_index = self.leader_state.noop_index;
        self.role == Role::Leader && noop_index.is_some_and(|noop| self.commit_index >= noop)
    }

    /// The expiry of the lease given by the latest answered round, even if it has passed.
    pub(crate) fn latest_lease_expiry(&self) -> Option<Time> {
        let started_at = self.leader_state.round_start(self.quorum_round())?;
        Some(started_at + self.config.lease_span())
    }

    /// Returns the time until which no other member can lead, or `None` if this member holds no lease at `now`. A lease requires
    /// that this member leads and knows everything that is committed. Callers must check the time again right before acting on it.
    pub fn lease_expiry(&self, now: Time) -> Option<Time> {
        if !self.has_committed_in_term() || !self.storage.is_healthy() {
            return None;
        }
        self.latest_lease_expiry().filter(|expiry| *expiry > now)
    }

    pub(crate) fn on_read_barrier(&mut self, ticket: u64) {
        if self.role != Role::Leader {
            let reason = Rejection::NotLeader(self.leader.clone());
            self.deferred_actions.push(Action::Rejected { ticket, reason });
        } else if self.leader_state.read_barriers.len() >= self.config.max_pending_read_barriers {
            self.counters.over_capacity += 1;
            self.deferred_actions.push(Action::Rejected { ticket, reason: Rejection::AtCapacity });
        } else {
            self.leader_state.read_barriers.push_back(ReadBarrier { ticket, confirmation: None });
            self.answer_read_barriers();
        }
    }

    /// Answers the read barriers whose heartbeat round a quorum has answered. Starts a round for the others unless one is pending.
    pub(crate) fn answer_read_barriers(&mut self) {
        if !self.has_committed_in_term() || self.leader_state.read_barriers.is_empty() {
            return;
        }
        let answered_round = self.quorum_round();
        while let Some(barrier) = self.leader_state.read_barriers.pop_front_if(|barrier| {
            barrier.confirmation.is_some_and(|confirmation| confirmation.round <= answered_round)
        }) {
            let index = Index(barrier.confirmation.map_or(0, |confirmation| confirmation.commit_index));
            self.deferred_actions.push(Action::Readable { ticket: barrier.ticket, index });
        }
        let next = self.leader_state.read_barriers.front();
        if next.is_some_and(|barrier| barrier.confirmation.is_none()) {
            self.start_round();
            if self.config.quorum() == 1 {
                self.answer_read_barriers();
            }
        }
    }
}
