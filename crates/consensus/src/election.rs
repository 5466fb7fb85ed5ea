//! Votes: who may ask, who may give, and what counts.
use crate::event::Role;
use crate::message::{Message, Position};
use crate::node::Node;
use crate::persistence::Promise;
use cluster_types::MemberId;

impl Node {
    /// Whether the log is known to be founded for good.
    pub(crate) fn sealed(&self) -> bool {
        self.commit > 0 || self.log.last().index > 1
    }

    /// Whether this store's life is admitted: by the founding, or by an entry known to be committed. Whatever is
    /// promised on the strength of it waits until that knowledge is on disk.
    pub(crate) fn admitted(&self) -> bool {
        self.log.lives_at(self.commit.max(1)).get(&self.config.me) == Some(&self.life)
    }

    pub(crate) fn may_campaign(&self) -> bool {
        self.sealed() && self.admitted() && self.disk.well()
    }

    /// Asks whether it would be voted for, so that nobody is disturbed in vain.
    pub(crate) fn campaign(&mut self) {
        self.follow(self.term, None);
        self.role = Role::PreCandidate;
        self.votes.insert(self.config.me.clone());
        let ask = Message::PreVote { term: self.term + 1, last: self.log.last() };
        self.ask(&ask);
        self.count_votes();
    }

    fn ask(&mut self, message: &Message) {
        for member in self.config.members.clone() {
            if member != self.config.me {
                self.promise(&member, message.clone());
            }
        }
    }

    /// Asks for votes in a new term, once its own is on disk.
    fn stand(&mut self) {
        if !self.may_write() {
            return;
        }
        self.follow(self.term + 1, None);
        self.stand_with(Message::Vote { term: self.term, last: self.log.last() });
    }

    pub(crate) fn stand_with(&mut self, ask: Message) {
        self.role = Role::Candidate;
        self.vote = Some((self.config.me.clone(), self.life));
        self.disk.dirty.hard = true;
        self.disk.promise(Promise::OwnVote(self.term));
        self.ask(&ask);
    }

    pub(crate) fn own_vote(&mut self) {
        self.votes.insert(self.config.me.clone());
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let needed = if self.founding.is_some() { self.config.members.len() } else { self.config.quorum() };
        if self.votes.len() < needed {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Whether this member may vote at all now. Guards a lease, and what a lost or failing disk forgot.
    fn may_vote(&mut self) -> bool {
        if !self.admitted() {
            self.counts.unadmitted += 1;
            return false;
        }
        if !self.disk.well() {
            self.counts.disk += 1;
            return false;
        }
        if self.now < self.held || self.role == Role::Leader {
            self.counts.leased += 1;
            return false;
        }
        true
    }

    pub(crate) fn on_pre_vote(&mut self, from: &MemberId, life: u64, term: u64, last: Position) {
        if !self.may_vote() {
            return;
        }
        let granted = term > self.term && last >= self.log.last();
        let term = if granted { term } else { self.term };
        self.sends.push((from.clone(), Message::Voted { term, pre: true, granted, to: life }));
    }

    pub(crate) fn on_vote(&mut self, from: &MemberId, life: u64, term: u64, last: Position) {
        if !self.may_vote() || !self.may_write() {
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        let granted = last >= self.log.last();
        self.give_vote(from, life, term, granted);
    }

    /// Answers who asked for the vote in that term; gives it at most once, to one life of one member.
    pub(crate) fn give_vote(&mut self, from: &MemberId, life: u64, term: u64, willing: bool) {
        let vote = Some((from.clone(), life));
        let waits = matches!(self.role, Role::Follower | Role::PreCandidate);
        let free = waits && self.leader.is_none() && self.vote.is_none();
        let granted = willing && term == self.term && (free || (waits && self.vote == vote));
        if granted {
            self.follow(term, self.leader.clone());
            if self.vote != vote {
                self.vote = vote;
                self.disk.dirty.hard = true;
            }
        }
        self.promise(from, Message::Voted { term: self.term, pre: false, granted, to: life });
    }

    pub(crate) fn on_voted(
        &mut self,
        from: &MemberId,
        life: u64,
        (term, pre, granted, to): (u64, bool, bool, u64),
    ) {
        let asked = match self.role {
            Role::PreCandidate => pre && term == self.term + 1,
            Role::Candidate => !pre && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !granted && term > self.term && to == self.life {
            if self.may_write() {
                self.follow(term, None);
            }
            return;
        }
        if !granted || !asked || to != self.life {
            self.counts.stale += 1;
            return;
        }
        let lives = self.founding.as_ref().unwrap_or_else(|| self.log.lives());
        if lives.get(from) != Some(&life) {
            self.counts.unadmitted += 1;
            return;
        }
        self.votes.insert(from.clone());
        self.count_votes();
    }
}
