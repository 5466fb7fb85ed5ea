//! A leader's side of the log: its own entries and what is committed.
use crate::event::{Action, Role, Why};
use crate::message::{Entry, Payload};
use crate::node::Node;
use crate::progress::{Lead, Progress};
use cluster_types::Time;
use std::sync::Arc;

impl Node {
    pub(crate) fn become_leader(&mut self) {
        let founding = self.founding.take();
        self.role = Role::Leader;
        self.leader = Some(self.config.me.clone());
        self.votes.clear();
        if founding.is_some() && self.log.last().index > 0 {
            self.cut(1);
        }
        let next = self.log.last().index + 1;
        let others = self.config.members.iter().filter(|m| **m != self.config.me);
        let progress = others.map(|m| (m.clone(), Progress::new(None, next))).collect();
        self.lead = Lead { progress, since: self.now, ..Lead::default() };
        self.election_at = self.now + self.config.election_max;
        if let Some(lives) = founding {
            self.append(Payload::Founding(lives));
        } else {
            self.lead.noop = Some(self.append(Payload::Noop));
        }
        self.begin_round();
    }

    /// Adds an entry of this term to its own log; it counts once it is on disk.
    pub(crate) fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.due();
        self.log.push(Entry { index, term: self.term, payload });
        self.disk.appended(index.0);
        index.0
    }

    /// A leader's tick: it goes on while a quorum answers, and does not try to found for ever.
    pub(crate) fn lead_on(&mut self) {
        if self.now < self.heartbeat_at {
            return;
        }
        let heard = self.lead.began(self.quorum_round()).unwrap_or(Time(0)).max(self.lead.since);
        let alone = self.now.since(heard) > self.config.election_max;
        if alone || (!self.sealed() && self.now >= self.election_at) {
            self.follow(self.term, None);
        } else {
            self.begin_round();
        }
    }

    pub(crate) fn propose(&mut self, ticket: u64, data: Arc<[u8]>) {
        let weight = data.len() + 64;
        let full = self.log.len() >= self.config.log_entries
            || self.log.bytes() + weight > self.config.log_bytes
            || self.lead.tickets.len() >= self.config.proposals;
        let why = if !self.disk.well() {
            Why::Disk
        } else if self.role != Role::Leader || !self.sealed() {
            Why::NotLeader(self.leader.clone().filter(|l| *l != self.config.me))
        } else if weight > self.config.batch_bytes {
            Why::Large
        } else if full || !self.may_write() {
            self.counts.full += 1;
            Why::Full
        } else {
            let index = self.append(Payload::Data(data));
            self.lead.tickets.insert(index, ticket);
            return self.feed_all();
        };
        self.acts.push(Action::Refused { ticket, why });
    }

    /// Commits what a quorum has on disk: only an entry of its own term is counted, the earlier ones come with it.
    /// The founding needs all.
    pub(crate) fn advance(&mut self) {
        let lives = self.log.lives();
        let own = self.disk.durable;
        if !self.sealed() {
            let all = self.lead.reached(lives, self.config.members.len(), own, |p| p.durable);
            if all >= 1 {
                self.commit_to(1);
                self.lead.noop = Some(self.append(Payload::Noop));
                self.feed_all();
            }
            return;
        }
        let upto = self.lead.reached(lives, self.config.quorum(), own, |p| p.durable);
        if upto > self.commit && self.log.term_at(upto) == Some(self.term) {
            self.commit_to(upto);
            self.feed_commit();
            self.confirm();
        }
    }
}
