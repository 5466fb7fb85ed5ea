//! Read access to a member's state for its host.
use crate::counters::Counters;
use crate::entry::{Incarnations, LogPosition};
use crate::node::Node;
use crate::role::Role;
use cluster_types::{Index, MemberId};
use std::hash::{Hash, Hasher};

impl Node {
    /// The role of this member.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The leader that this member follows; itself if it leads.
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// The position of the last entry in the log.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// The index up to which this member knows the log to be committed.
    pub fn commit_index(&self) -> Index {
        Index(self.commit_index)
    }

    /// The incarnations admitted by committed entries.
    pub fn incarnations(&self) -> &Incarnations {
        self.log.incarnations_at(self.commit_index)
    }

    /// How often input was rejected or ignored.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Hashes everything that determines what this member does next, except time and randomness. For model checkers.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        (self.incarnation, self.term, &self.vote, self.commit_index, self.role, &self.leader).hash(hasher);
        (&self.log, &self.votes, &self.proposed_bootstrap, &self.incoming_snapshot).hash(hasher);
        for (member, hello) in &self.bootstrap_hellos {
            (member, hello.incarnation, hello.term).hash(hasher);
        }
        let state = &self.leader_state;
        (&state.progress, &state.proposals, &state.read_barriers, state.round).hash(hasher);
        self.storage.fingerprint(hasher);
    }
}
