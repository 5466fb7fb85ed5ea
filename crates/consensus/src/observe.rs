//! What can be seen of a member from outside.
use crate::counters::Counts;
use crate::event::Role;
use crate::message::{Lives, Position};
use crate::node::Node;
use cluster_types::{Index, MemberId};
use std::hash::{Hash, Hasher};

impl Node {
    /// What it is, its term, and whom it follows.
    pub fn role(&self) -> (Role, u64, Option<&MemberId>) {
        (self.role, self.term, self.leader.as_ref())
    }

    /// The end of its log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Up to where it knows the log to be committed.
    pub fn commit(&self) -> Index {
        Index(self.commit)
    }

    /// The lives admitted by what is committed.
    pub fn lives(&self) -> &Lives {
        self.log.lives_at(self.commit)
    }

    /// What was refused or ignored.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All that decides what it does next apart from time and chance, for searches over states.
    pub fn fingerprint(&self, into: &mut impl Hasher) {
        (self.life, self.term, &self.vote, self.commit, self.role, &self.leader).hash(into);
        (&self.log, &self.votes, &self.founding, &self.incoming).hash(into);
        for (member, (life, term, _)) in &self.hellos {
            (member, life, term).hash(into);
        }
        (&self.lead.progress, &self.lead.tickets, &self.lead.barriers, self.lead.round).hash(into);
        self.disk.fingerprint(into);
    }
}
