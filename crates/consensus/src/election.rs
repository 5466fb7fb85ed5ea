//! Elections: which members may request votes, which may grant them, and which votes count.
use crate::entry::LogPosition;
use crate::message::{Message, VoteResponse};
use crate::node::Node;
use crate::role::Role;
use crate::write_batch::Vote;
use crate::write_queue::DurableEffect;
use cluster_types::MemberId;

impl Node {
    /// Whether this member knows that the group's bootstrap is committed.
    pub(crate) fn is_bootstrapped(&self) -> bool {
        self.commit_index > 0 || self.log.last_position().index > 1
    }

    /// Whether the incarnation of this store is admitted: by the bootstrap entry, or by an entry known to be committed. Votes and
    /// acknowledgements that rely on this are held back until that commit index is on disk.
    pub(crate) fn is_admitted(&self) -> bool {
        let admitted = self.log.incarnations_at(self.commit_index.max(1));
        admitted.get(&self.config.own_id) == Some(&self.incarnation)
    }

    pub(crate) fn can_campaign(&self) -> bool {
        self.is_bootstrapped() && self.is_admitted() && self.storage.is_healthy()
    }

    /// Asks whether this member would be elected, so that an election without a chance does not raise the term of other members.
    pub(crate) fn start_pre_vote(&mut self) {
        self.become_follower(self.term, None);
        self.role = Role::PreCandidate;
        self.votes.insert(self.config.own_id.clone());
        self.broadcast_when_durable(&Message::PreVoteRequest {
            term: self.term + 1,
            last: self.log.last_position(),
        });
        self.tally_votes();
    }

    fn broadcast_when_durable(&mut self, message: &Message) {
        for member in self.config.members.clone() {
            if member != self.config.own_id {
                self.send_when_durable(&member, message.clone());
            }
        }
    }

    /// Starts an election in a new term. The candidate's own vote counts once it is on disk.
    fn start_election(&mut self) {
        if !self.has_write_capacity() {
            return;
        }
        self.become_follower(self.term + 1, None);
        self.become_candidate(&Message::VoteRequest { term: self.term, last: self.log.last_position() });
    }

    /// Votes for itself in the current term and sends the request to all others.
    pub(crate) fn become_candidate(&mut self, request: &Message) {
        self.role = Role::Candidate;
        self.vote = Some(Vote { candidate: self.config.own_id.clone(), incarnation: self.incarnation });
        self.storage.note_hard_state();
        self.storage.defer(DurableEffect::OwnVote { term: self.term });
        self.broadcast_when_durable(request);
    }

    pub(crate) fn count_own_vote(&mut self) {
        self.votes.insert(self.config.own_id.clone());
        self.tally_votes();
    }

    fn tally_votes(&mut self) {
        let needed =
            if self.proposed_bootstrap.is_some() { self.config.members.len() } else { self.config.quorum() };
        if self.votes.len() < needed {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Whether this member may vote at all now; if not, the reason is counted. Protects the lease of a leader, and prevents a
    /// second vote after the first was lost with a lost or failing disk.
    fn can_vote(&mut self) -> bool {
        if !self.is_admitted() {
            self.counters.unadmitted_incarnation += 1;
            return false;
        }
        if !self.storage.is_healthy() {
            self.counters.storage_failed += 1;
            return false;
        }
        if self.now < self.vote_withheld_until || self.role == Role::Leader {
            self.counters.lease_active += 1;
            return false;
        }
        true
    }

    pub(crate) fn on_pre_vote_request(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        term: u64,
        last: LogPosition,
    ) {
        if !self.can_vote() {
            return;
        }
        let is_granted = term > self.term && last >= self.log.last_position();
        let response = VoteResponse {
            term: if is_granted { term } else { self.term },
            is_pre_vote: true,
            is_granted,
            candidate_incarnation: incarnation,
        };
        self.outbox.push((from.clone(), Message::VoteResponse(response)));
    }

    pub(crate) fn on_vote_request(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        term: u64,
        last: LogPosition,
    ) {
        if !self.can_vote() || !self.has_write_capacity() {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let is_up_to_date = last >= self.log.last_position();
        self.answer_vote_request(from, incarnation, term, is_up_to_date);
    }

    /// Answers a candidate in `term`. At most one vote is granted per term, to one incarnation of one member.
    pub(crate) fn answer_vote_request(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        term: u64,
        is_willing: bool,
    ) {
        let vote = Some(Vote { candidate: from.clone(), incarnation });
        let is_undecided = matches!(self.role, Role::Follower | Role::PreCandidate);
        let has_uncast_vote = is_undecided && self.leader.is_none() && self.vote.is_none();
        let is_granted =
            is_willing && term == self.term && (has_uncast_vote || (is_undecided && self.vote == vote));
        if is_granted {
            self.become_follower(term, self.leader.clone());
            if self.vote != vote {
                self.vote = vote;
                self.storage.note_hard_state();
            }
        }
        let response = VoteResponse {
            term: self.term,
            is_pre_vote: false,
            is_granted,
            candidate_incarnation: incarnation,
        };
        self.send_when_durable(from, Message::VoteResponse(response));
    }

    pub(crate) fn on_vote_response(&mut self, from: &MemberId, incarnation: u64, response: &VoteResponse) {
        let VoteResponse { term, is_pre_vote, is_granted, candidate_incarnation } = *response;
        let is_for_this_store = candidate_incarnation == self.incarnation;
        if !is_granted && term > self.term && is_for_this_store {
            if self.has_write_capacity() {
                self.become_follower(term, None);
            }
            return;
        }
        let is_expected = match self.role {
            Role::PreCandidate => is_pre_vote && term == self.term + 1,
            Role::Candidate => !is_pre_vote && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !is_granted || !is_expected || !is_for_this_store {
            self.counters.stale += 1;
            return;
        }
        let incarnations = self.proposed_bootstrap.as_ref().unwrap_or_else(|| self.log.incarnations());
        if incarnations.get(from) != Some(&incarnation) {
            self.counters.unadmitted_incarnation += 1;
            return;
        }
        self.votes.insert(from.clone());
        self.tally_votes();
    }
}
