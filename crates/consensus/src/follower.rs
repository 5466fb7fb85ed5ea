//! The follower's side of replication: appending and committing the leader's entries.
use crate::entry::{Entry, LogPosition, Payload, TERM_AND_INDEX_BOUND};
use crate::message::{AppendOutcome, AppendRequest, AppendResponse, Message};
use crate::node::Node;
use crate::role::Role;
use cluster_types::MemberId;

/// A follower whose host takes no snapshots accepts this multiple of a leader's log limits.
const FOLLOWER_LOG_FACTOR: usize = 2;

impl Node {
    /// Follows the sender of a leader's message whose term is not stale, and withholds this member's vote for the minimum election
    /// timeout. Returns false if another member is known to lead in that term.
    pub(crate) fn accept_leader(&mut self, from: &MemberId, term: u64) -> bool {
        let follows_other = self.leader.as_ref().is_some_and(|leader| leader != from);
        if term == self.term && (self.role == Role::Leader || follows_other) {
            self.counters.malformed += 1;
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.become_follower(term, Some(from.clone()));
        }
        self.leader = Some(from.clone());
        let withheld_until = self.now + self.config.min_election_timeout;
        self.vote_withheld_until = self.vote_withheld_until.max(withheld_until);
        self.reset_election_timer();
        true
    }

    /// Answers a leader once everything is on disk. If the storage has failed, the answer is sent at once and does not count for
    /// the quorum, so that the leader can continue sending.
    pub(crate) fn respond_to_leader(&mut self, to: &MemberId, round: u64, outcome: AppendOutcome) {
        let is_healthy = self.storage.is_healthy();
        let counts_for_quorum = self.is_admitted() && is_healthy;
        let response = AppendResponse { term: self.term, round, counts_for_quorum, outcome };
        let message = Message::AppendResponse(response);
        if is_healthy {
            self.send_when_durable(to, message);
        } else {
            self.outbox.push((to.clone(), message));
        }
    }

    /// Rejects a message of a leader of an earlier term, at `previous_index`.
    pub(crate) fn reject_stale_leader(&mut self, to: &MemberId, round: u64, previous_index: u64) {
        self.counters.stale += 1;
        let retry_index = self.log.last_position().index + 1;
        let outcome = AppendOutcome::Rejected { previous_index, retry_index, conflict_term: None };
        self.respond_to_leader(to, round, outcome);
    }

    pub(crate) fn on_append_request(&mut self, from: &MemberId, request: AppendRequest) {
        let AppendRequest { term, previous, entries, commit_index, round } = request;
        if term < self.term {
            self.reject_stale_leader(from, round, previous.index);
            return;
        }
        if !self.is_well_formed(term, previous, &entries) || self.contradicts_commit(previous, &entries) {
            self.counters.malformed += 1;
            return;
        }
        let must_write = term > self.term || !entries.is_empty();
        if must_write && !self.has_write_capacity() {
            return;
        }
        if !self.accept_leader(from, term) {
            return;
        }
        let outcome = self.append_entries(previous, entries);
        if let AppendOutcome::Matched(index) = outcome {
            self.commit_up_to(commit_index.min(index));
        }
        self.respond_to_leader(from, round, outcome);
    }

    /// Whether a correct leader could have sent these entries.
    fn is_well_formed(&self, term: u64, previous: LogPosition, entries: &[Entry]) -> bool {
        if previous.index >= TERM_AND_INDEX_BOUND
            || previous.term > term
            || (previous.index == 0) != (previous.term == 0)
        {
            return false;
        }
        let mut last = previous;
        entries.iter().all(|entry| {
            let follows_last = entry.index.0 == last.index + 1
                && entry.term >= last.term
                && entry.term > 0
                && entry.term <= term;
            last = LogPosition { term: entry.term, index: entry.index.0.min(TERM_AND_INDEX_BOUND) };
            follows_last && self.is_payload_in_place(entry)
        })
    }

    /// Whether the payload is allowed at the index of the entry and names only configured members.
    fn is_payload_in_place(&self, entry: &Entry) -> bool {
        let is_first = entry.index.0 == 1;
        match &entry.payload {
            Payload::Bootstrap(incarnations) => {
                is_first && incarnations.keys().eq(self.config.members.iter())
            }
            Payload::Readmit { member, .. } => entry.index.0 > 1 && self.config.members.contains(member),
            Payload::Noop | Payload::Data(_) => entry.index.0 > 1,
        }
    }

    /// Whether the entries would change what this member knows to be committed.
    fn contradicts_commit(&self, previous: LogPosition, entries: &[Entry]) -> bool {
        let positions = entries.iter().map(Entry::position).chain([previous]);
        positions.into_iter().any(|position| {
            position.index <= self.commit_index
                && self.log.term_at(position.index).is_some_and(|known| known != position.term)
        })
    }

    /// Appends the entries after `previous`, replacing entries that conflict with them.
    fn append_entries(&mut self, previous: LogPosition, entries: Vec<Entry>) -> AppendOutcome {
        let previous_index = previous.index;
        let last_index = self.log.last_position().index;
        if previous_index > last_index {
            let retry_index = last_index + 1;
            return AppendOutcome::Rejected { previous_index, retry_index, conflict_term: None };
        }
        let known_term = self.log.term_at(previous_index);
        if previous_index > self.commit_index && known_term != Some(previous.term) {
            let first_index = self.log.first_index_of_term_at(previous_index);
            let retry_index = first_index.max(self.commit_index + 1);
            return AppendOutcome::Rejected { previous_index, retry_index, conflict_term: known_term };
        }
        let mut matched_index = previous_index;
        for entry in entries {
            let index = entry.index.0;
            if index > self.commit_index && self.log.term_at(index) != Some(entry.term) {
                if index <= self.log.last_position().index {
                    self.truncate_log(index);
                }
                if !self.has_log_capacity(&entry) {
                    self.counters.over_capacity += 1;
                    break;
                }
                self.log.push(entry);
                self.storage.note_appended(index);
            }
            matched_index = index;
        }
        AppendOutcome::Matched(matched_index)
    }

    /// Whether the log may take the entry. Limits the memory of a follower whose host takes no snapshots.
    fn has_log_capacity(&self, entry: &Entry) -> bool {
        let max_bytes = self.config.max_log_bytes.saturating_mul(FOLLOWER_LOG_FACTOR);
        self.log.len() < self.config.max_log_entries * FOLLOWER_LOG_FACTOR
            && self.log.memory_bytes() + entry.memory_bytes() <= max_bytes
    }

    /// Removes the entries from an index on. They must not be committed.
    pub(crate) fn truncate_log(&mut self, from: u64) {
        self.log.truncate(from);
        self.storage.note_truncated(from);
    }

    /// Advances the commit index. If that bootstraps the group or admits this member, the commit index is written to disk
    /// before any vote or acknowledgement that relies on it is sent.
    pub(crate) fn commit_up_to(&mut self, index: u64) {
        let index = index.min(self.log.last_position().index);
        if index <= self.commit_index {
            return;
        }
        let was_bootstrapped = self.commit_index > 0;
        let admitted_before = self.own_incarnation_at(self.commit_index.max(1));
        self.commit_index = index;
        if !was_bootstrapped || admitted_before != self.own_incarnation_at(index) {
            self.storage.note_hard_state();
        }
    }

    /// The incarnation of this member that is admitted as of an index.
    fn own_incarnation_at(&self, index: u64) -> Option<u64> {
        self.log.incarnations_at(index).get(&self.config.own_id).copied()
    }
}
