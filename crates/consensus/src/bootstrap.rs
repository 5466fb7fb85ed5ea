//! The founding: the one entry that needs all members.
use crate::event::Role;
use crate::message::{Lives, Message, Payload};
use crate::node::Node;
use cluster_types::MemberId;

impl Node {
    /// Only one asks, so that no two stand in each other's way; all are needed anyhow.
    fn founder(&self) -> Option<&MemberId> {
        self.config.members.first()
    }

    pub(crate) fn say_hello(&mut self) {
        if self.founder() == Some(&self.config.me) {
            self.found();
        } else if let Some(founder) = self.founder().cloned() {
            self.promise(&founder, Message::Hello { term: self.term });
        }
    }

    pub(crate) fn on_hello(&mut self, from: &MemberId, life: u64, term: u64) {
        if self.founder() != Some(&self.config.me) || self.sealed() {
            self.counts.stale += 1;
            return;
        }
        self.hellos.insert(from.clone(), (life, term, self.now));
        self.found();
    }

    /// Asks for all votes once all members were heard, lately, with unfounded stores.
    fn found(&mut self) {
        let fresh = self.config.election_min * 2;
        let heard = self.hellos.values().filter(|(_, _, at)| self.now.since(*at) < fresh).count();
        let ready = heard + 1 == self.config.members.len() && self.role == Role::Follower;
        if !ready || !self.disk.well() || !self.may_write() {
            return;
        }
        let mut lives: Lives = self.hellos.iter().map(|(m, (life, _, _))| (m.clone(), *life)).collect();
        lives.insert(self.config.me.clone(), self.life);
        let term = self.hellos.values().map(|(_, term, _)| *term).fold(self.term, u64::max) + 1;
        if !self.may_replace(&lives) {
            return;
        }
        self.hellos.clear();
        self.follow(term, None);
        self.founding = Some(lives.clone());
        self.stand_with(Message::Found { term, lives });
    }

    /// Whether a founding with these lives may take the place of the one that this store has, if any. A log that
    /// was founded by the earlier one can have committed something only by a quorum of its lives; where a quorum of them
    /// votes and none has a second entry, it has not.
    fn may_replace(&self, lives: &Lives) -> bool {
        match self.log.get(1).map(|e| &e.payload) {
            Some(Payload::Founding(old)) => {
                let same = old.iter().filter(|(member, life)| lives.get(*member) == Some(*life)).count();
                same >= self.config.quorum()
            }
            _ => true,
        }
    }

    pub(crate) fn on_found(&mut self, from: &MemberId, life: u64, term: u64, lives: Lives) {
        let members = lives.len() == self.config.members.len() && lives.keys().eq(self.config.members.iter());
        if !members || self.founder() != Some(from) || lives.get(from) != Some(&life) {
            self.counts.malformed += 1;
            return;
        }
        let willing = lives.get(&self.config.me) == Some(&self.life) && self.may_replace(&lives);
        if self.sealed() || !willing || !self.disk.well() || !self.may_write() {
            self.counts.stale += 1;
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        self.give_vote(from, life, term, true);
    }
}
