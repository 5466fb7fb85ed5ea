//! A member: its state, and where events go.
use crate::config::Config;
use crate::counters::Counts;
use crate::error::Fault;
use crate::event::{Action, Event, Role, Why};
use crate::log::Log;
use crate::message::{Lives, Message, Payload, FAR};
use crate::persistence::Disk;
use crate::progress::Lead;
use crate::snapshot_transfer::Incoming;
use crate::stored_state::Stored;
use cluster_types::{Index, MemberId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) life: u64,
    rng: SmallRng,
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: Option<(MemberId, u64)>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) log: Log,
    pub(crate) disk: Disk,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    /// Who gave the vote, or would.
    pub(crate) votes: BTreeSet<MemberId>,
    /// The lives that a founder asks votes for.
    pub(crate) founding: Option<Lives>,
    /// Who said when that its store knows of no founded log: life, term, time.
    pub(crate) hellos: BTreeMap<MemberId, (u64, u64, Time)>,
    pub(crate) lead: Lead,
    pub(crate) incoming: Option<Incoming>,
    /// Until then no vote is given: a leader that was heard, or this member itself, may have a lease.
    pub(crate) held: Time,
    pub(crate) election_at: Time,
    pub(crate) heartbeat_at: Time,
    pub(crate) hello_at: Time,
    /// When a snapshot was asked for that did not come yet.
    pub(crate) wanted: Option<Time>,
    pub(crate) sends: Vec<(MemberId, Message)>,
    pub(crate) acts: Vec<Action>,
    told: (Role, u64, Option<MemberId>),
    restore: bool,
    pub(crate) counts: Counts,
}

impl Node {
    /// A member as it starts, with what its host read from disk. The seed only spreads the election times.
    pub fn new(mut config: Config, stored: Stored, now: Time, seed: u64) -> Result<Node, Fault> {
        config.check()?;
        config.members.sort();
        let (life, hard) = (stored.life, stored.hard.clone());
        let log = stored.check(&config)?;
        let base = log.snapshot.at.index;
        let mut node = Node {
            life,
            rng: SmallRng::seed_from_u64(seed),
            now,
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit.0.max(base),
            applied: base,
            disk: Disk::new(log.last().index),
            log,
            role: Role::Follower,
            leader: None,
            votes: BTreeSet::new(),
            founding: None,
            hellos: BTreeMap::new(),
            lead: Lead::default(),
            incoming: None,
            held: now + config.election_min,
            election_at: now,
            heartbeat_at: now,
            hello_at: now,
            wanted: None,
            sends: Vec::new(),
            acts: Vec::new(),
            told: (Role::Follower, hard.term, None),
            restore: base > 0,
            counts: Counts::default(),
            config,
        };
        node.reset_election();
        Ok(node)
    }

    /// Takes in an event; what is to be done is added to `out`, in this order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Message { from, life, message } => self.message(&from, life, message),
            Event::Propose { ticket, data } => self.propose(ticket, data),
            Event::Barrier { ticket } => self.barrier(ticket),
            Event::Persisted { batch } => self.persisted(batch),
            Event::PersistFailed { batch } => self.persist_failed(batch),
            Event::Recovered => self.recovered(),
            Event::Snapshot { upto, data } => self.snapshot(upto.0, data),
        }
        self.finish(out);
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        if self.restore || self.applied < self.commit {
            return Some(self.now);
        }
        let own = match self.role {
            Role::Leader => Some(self.heartbeat_at),
            Role::Follower if !self.may_campaign() => self.leader.as_ref().map(|_| self.election_at),
            _ => Some(self.election_at),
        };
        let hello = (!self.sealed() && self.role != Role::Leader).then_some(self.hello_at);
        own.into_iter().chain(hello).min()
    }

    fn tick(&mut self) {
        match self.role {
            Role::Leader => self.lead_on(),
            _ if self.now < self.election_at => {}
            Role::Candidate if self.founding.is_some() => self.follow(self.term, None),
            _ if self.may_campaign() => self.campaign(),
            _ => {
                self.reset_election();
                self.leader = None;
            }
        }
        if !self.sealed() && self.role != Role::Leader && self.now >= self.hello_at {
            self.hello_at = self.now + self.config.election_min / 2;
            self.say_hello();
        }
    }

    fn message(&mut self, from: &MemberId, life: u64, message: Message) {
        if *from == self.config.me || !self.config.members.contains(from) {
            self.counts.foreign += 1;
            return;
        }
        if message.term() >= FAR {
            self.counts.malformed += 1;
            return;
        }
        match message {
            Message::Hello { term } => self.on_hello(from, life, term),
            Message::Found { term, lives } => self.on_found(from, life, term, lives),
            Message::PreVote { term, last } => self.on_pre_vote(from, life, term, last),
            Message::Vote { term, last } => self.on_vote(from, life, term, last),
            Message::Voted { term, pre, granted, to } => self.on_voted(from, life, (term, pre, granted, to)),
            Message::Append { term, prev, entries, commit, round } => {
                self.on_append(from, term, (prev, entries), commit, round);
            }
            Message::Appended { term, round, counts, outcome } => {
                self.on_appended(from, life, (term, round, counts), outcome);
            }
            Message::Chunk { term, at, lives, size, offset, bytes, round } => {
                self.on_chunk(from, (term, round), (at, lives), size, (offset, bytes));
            }
        }
    }

    /// Writes, says and applies what came of an event.
    fn finish(&mut self, out: &mut Vec<Action>) {
        while self.flush(out) {}
        out.extend(self.sends.drain(..).map(|(to, message)| Action::Send { to, message }));
        let told = (self.role, self.term, self.leader.clone());
        if told != self.told {
            out.push(Action::Role { role: told.0, term: told.1, leader: told.2.clone() });
            self.told = told;
        }
        if std::mem::take(&mut self.restore) {
            self.applied = self.log.snapshot.at.index;
            out.push(Action::Restore { index: Index(self.applied), data: self.log.snapshot.data.clone() });
        }
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.log.get(self.applied) else { break };
            if let Payload::Data(data) = &entry.payload {
                out.push(Action::Apply { index: entry.index, term: entry.term, data: data.clone() });
            }
            if let Some(ticket) = self.lead.tickets.remove(&self.applied) {
                out.push(Action::Committed { ticket, index: Index(self.applied) });
            }
        }
        out.append(&mut self.acts);
        self.want_snapshot(out);
    }

    /// Goes back to following, in that term, at a leader's word or to wait for one.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<MemberId>) {
        if self.role == Role::Leader {
            let lead = std::mem::take(&mut self.lead);
            let tickets = lead.tickets.into_values().chain(lead.barriers.into_iter().map(|b| b.ticket));
            self.acts.extend(tickets.map(|ticket| Action::Refused { ticket, why: Why::Lost }));
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.incoming = None;
            self.disk.dirty.hard = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.founding = None;
        self.reset_election();
    }

    pub(crate) fn reset_election(&mut self) {
        let (least, most) = (self.config.election_min, self.config.election_max);
        let spread = u64::try_from((most - least).as_micros()).unwrap_or(u64::MAX);
        self.election_at =
            self.now + least + std::time::Duration::from_micros(self.rng.random_range(1..=spread));
    }

    pub(crate) fn restore_due(&mut self) {
        self.restore = true;
    }
}
