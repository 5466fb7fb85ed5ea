//! A member of the group: its state and the dispatch of events.
use crate::action::{Action, Rejection};
use crate::bootstrap_hello::BootstrapHello;
use crate::config::Config;
use crate::counters::Counters;
use crate::entry::{Incarnations, Payload, TERM_AND_INDEX_BOUND};
use crate::error::StartError;
use crate::event::Event;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::leader_state::LeaderState;
use crate::log::Log;
use crate::message::Message;
use crate::role::{Role, RoleState};
use crate::stored_state::StoredState;
use crate::write_batch::Vote;
use crate::write_queue::WriteQueue;
use cluster_types::{Index, MemberId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) incarnation: u64,
    rng: SmallRng,
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: Option<Vote>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) log: Log,
    pub(crate) storage: WriteQueue,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    /// The members that granted their vote or pre-vote.
    pub(crate) votes: BTreeSet<MemberId>,
    /// The incarnations in the bootstrap that this member proposes.
    pub(crate) proposed_bootstrap: Option<Incarnations>,
    /// The members that reported an empty store.
    pub(crate) bootstrap_hellos: BTreeMap<MemberId, BootstrapHello>,
    pub(crate) leader_state: LeaderState,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// No vote is granted before this time: the last known leader, or this member itself, may hold a lease.
    pub(crate) vote_withheld_until: Time,
    pub(crate) election_at: Time,
    pub(crate) heartbeat_at: Time,
    pub(crate) next_hello_at: Time,
    /// When the pending snapshot was requested, if the host has not taken it yet.
    pub(crate) snapshot_requested_at: Option<Time>,
    pub(crate) outbox: Vec<(MemberId, Message)>,
    /// Actions to return after the writes, messages and applied entries of the current event.
    pub(crate) deferred_actions: Vec<Action>,
    reported_role: RoleState,
    is_restore_due: bool,
    pub(crate) counters: Counters,
}

impl Node {
    /// Creates a member from the state that its host read from disk. The seed only randomizes the election timeouts.
    ///
    /// # Errors
    ///
    /// Returns the first error found in the configuration or the stored state.
    pub fn new(mut config: Config, stored: StoredState, now: Time, seed: u64) -> Result<Node, StartError> {
        config.validate()?;
        config.members.sort();
        let (incarnation, hard_state) = (stored.incarnation, stored.hard_state.clone());
        let log = stored.into_log(&config)?;
        let snapshot_index = log.snapshot.last.index;
        let mut node = Node {
            incarnation,
            rng: SmallRng::seed_from_u64(seed),
            now,
            term: hard_state.term,
            vote: hard_state.vote,
            commit_index: hard_state.commit.0.max(snapshot_index),
            applied_index: snapshot_index,
            storage: WriteQueue::new(log.last_position().index),
            log,
            role: Role::Follower,
            leader: None,
            votes: BTreeSet::new(),
            proposed_bootstrap: None,
            bootstrap_hellos: BTreeMap::new(),
            leader_state: LeaderState::default(),
            incoming_snapshot: None,
            vote_withheld_until: now + config.min_election_timeout,
            election_at: now,
            heartbeat_at: now,
            next_hello_at: now,
            snapshot_requested_at: None,
            outbox: Vec::new(),
            deferred_actions: Vec::new(),
            reported_role: RoleState { role: Role::Follower, term: hard_state.term, leader: None },
            is_restore_due: snapshot_index > 0,
            counters: Counters::default(),
            config,
        };
        node.reset_election_timer();
        Ok(node)
    }

    /// Handles an event. The resulting actions are added to `out`, in the order in which the host must carry them out.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Message { from, incarnation, message } => self.on_message(&from, incarnation, message),
            Event::Propose { ticket, data } => self.on_propose(ticket, data),
            Event::ReadBarrier { ticket } => self.on_read_barrier(ticket),
            Event::Persisted { batch_id } => self.on_persisted(batch_id),
            Event::PersistFailed { batch_id } => self.on_persist_failed(batch_id),
            Event::StorageRecovered => self.on_storage_recovered(),
            Event::SnapshotTaken { last_index, data } => self.on_snapshot_taken(last_index.0, data),
        }
        self.emit_actions(out);
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        if self.is_restore_due || self.applied_index < self.commit_index {
            return Some(self.now);
        }
        let role_timer = match self.role {
            Role::Leader => Some(self.heartbeat_at),
            Role::Follower if !self.can_campaign() => self.leader.as_ref().map(|_| self.election_at),
            Role::Follower | Role::PreCandidate | Role::Candidate => Some(self.election_at),
        };
        let hello_timer = self.awaits_bootstrap().then_some(self.next_hello_at);
        role_timer.into_iter().chain(hello_timer).min()
    }

    fn awaits_bootstrap(&self) -> bool {
        !self.is_bootstrapped() && self.role != Role::Leader
    }

    fn on_tick(&mut self) {
        match self.role {
            Role::Leader => self.tick_leader(),
            _ if self.now < self.election_at => {}
            Role::Candidate if self.proposed_bootstrap.is_some() => self.become_follower(self.term, None),
            _ if self.can_campaign() => self.start_pre_vote(),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.reset_election_timer();
                self.leader = None;
            }
        }
        if self.awaits_bootstrap() && self.now >= self.next_hello_at {
            self.next_hello_at = self.now + self.config.min_election_timeout / 2;
            self.join_bootstrap();
        }
    }

    fn on_message(&mut self, from: &MemberId, incarnation: u64, message: Message) {
        if *from == self.config.own_id || !self.config.members.contains(from) {
            self.counters.unknown_sender += 1;
            return;
        }
        if message.term() >= TERM_AND_INDEX_BOUND {
            self.counters.malformed += 1;
            return;
        }
        match message {
            Message::BootstrapHello { term } => self.on_bootstrap_hello(from, incarnation, term),
            Message::BootstrapRequest { term, incarnations } => {
                self.on_bootstrap_request(from, incarnation, term, &incarnations);
            }
            Message::PreVoteRequest { term, last } => self.on_pre_vote_request(from, incarnation, term, last),
            Message::VoteRequest { term, last } => self.on_vote_request(from, incarnation, term, last),
            Message::VoteResponse(response) => self.on_vote_response(from, incarnation, &response),
            Message::AppendRequest(request) => self.on_append_request(from, request),
            Message::AppendResponse(response) => self.on_append_response(from, incarnation, &response),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
        }
    }

    /// Adds the actions that result from an event to `out`: writes, messages, role changes, committed entries, deferred actions.
    fn emit_actions(&mut self, out: &mut Vec<Action>) {
        while self.flush_changes(out) {}
        out.extend(self.outbox.drain(..).map(|(to, message)| Action::Send { to, message }));
        self.emit_role(out);
        self.emit_committed(out);
        out.append(&mut self.deferred_actions);
        self.request_snapshot_if_due(out);
    }

    fn emit_role(&mut self, out: &mut Vec<Action>) {
        let current = RoleState { role: self.role, term: self.term, leader: self.leader.clone() };
        if current != self.reported_role {
            let RoleState { role, term, leader } = current.clone();
            out.push(Action::RoleChanged { role, term, leader });
            self.reported_role = current;
        }
    }

    fn emit_committed(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.is_restore_due) {
            self.applied_index = self.log.snapshot.last.index;
            let (index, data) = (Index(self.applied_index), self.log.snapshot.data.clone());
            out.push(Action::Restore { index, data });
        }
        while self.applied_index < self.commit_index {
            self.applied_index += 1;
            let Some(entry) = self.log.get(self.applied_index) else { break };
            if let Payload::Data(data) = &entry.payload {
                out.push(Action::Apply { index: entry.index, term: entry.term, data: data.clone() });
            }
            if let Some(ticket) = self.leader_state.proposals.remove(&self.applied_index) {
                out.push(Action::Committed { ticket, index: Index(self.applied_index) });
            }
        }
    }

    /// Becomes a follower in `term`, of `leader` if known. A leader that steps down rejects its pending proposals and read barriers.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if self.role == Role::Leader {
            let state = std::mem::take(&mut self.leader_state);
            let barriers = state.read_barriers.into_iter().map(|barrier| barrier.ticket);
            let tickets = state.proposals.into_values().chain(barriers);
            let reject = |ticket| Action::Rejected { ticket, reason: Rejection::LeadershipLost };
            self.deferred_actions.extend(tickets.map(reject));
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.incoming_snapshot = None;
            self.storage.note_hard_state();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.proposed_bootstrap = None;
        self.reset_election_timer();
    }

    /// Draws the next election timeout, randomized so that members rarely campaign at the same time.
    pub(crate) fn reset_election_timer(&mut self) {
        let (min, max) = (self.config.min_election_timeout, self.config.max_election_timeout);
        let spread = u64::try_from((max - min).as_micros()).unwrap_or(u64::MAX);
        self.election_at = self.now + min + Duration::from_micros(self.rng.random_range(1..=spread));
    }

    /// Schedules the host's applied state to be replaced with the log's snapshot.
    pub(crate) fn schedule_restore(&mut self) {
        self.is_restore_due = true;
    }
}
