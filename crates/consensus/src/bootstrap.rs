//! Bootstrapping the group. The bootstrap entry is the only one that needs all members.
use crate::bootstrap_hello::BootstrapHello;
use crate::entry::{Incarnations, Payload};
use crate::message::Message;
use crate::node::Node;
use crate::role::Role;
use cluster_types::MemberId;

impl Node {
    /// The only member that may bootstrap the group. Bootstrap needs all members anyway, and two candidates would split the votes.
    fn bootstrap_member(&self) -> Option<&MemberId> {
        self.config.members.first()
    }

    /// Tries to bootstrap if this is the bootstrap member; otherwise reports an empty store to that member.
    pub(crate) fn join_bootstrap(&mut self) {
        if self.bootstrap_member() == Some(&self.config.own_id) {
            self.try_bootstrap();
        } else if let Some(member) = self.bootstrap_member().cloned() {
            self.send_when_durable(&member, Message::BootstrapHello { term: self.term });
        }
    }

    pub(crate) fn on_bootstrap_hello(&mut self, from: &MemberId, incarnation: u64, term: u64) {
        if self.bootstrap_member() != Some(&self.config.own_id) || self.is_bootstrapped() {
            self.counters.stale += 1;
            return;
        }
        let hello = BootstrapHello { incarnation, term, received_at: self.now };
        self.bootstrap_hellos.insert(from.clone(), hello);
        self.try_bootstrap();
    }

    /// Requests the votes of all members once all of them have recently reported empty stores.
    fn try_bootstrap(&mut self) {
        let max_age = self.config.min_election_timeout * 2;
        let recent_count = self
            .bootstrap_hellos
            .values()
            .filter(|hello| self.now.since(hello.received_at) < max_age)
            .count();
        let is_ready = recent_count + 1 == self.config.members.len() && self.role == Role::Follower;
        if !is_ready || !self.storage.is_healthy() || !self.has_write_capacity() {
            return;
        }
        let reported =
            self.bootstrap_hellos.iter().map(|(member, hello)| (member.clone(), hello.incarnation));
        let mut incarnations: Incarnations = reported.collect();
        incarnations.insert(self.config.own_id.clone(), self.incarnation);
        let term = self.bootstrap_hellos.values().map(|hello| hello.term).fold(self.term, u64::max) + 1;
        if !self.may_replace_bootstrap(&incarnations) {
            return;
        }
        self.bootstrap_hellos.clear();
        self.become_follower(term, None);
        self.proposed_bootstrap = Some(incarnations.clone());
        self.become_candidate(&Message::BootstrapRequest { term, incarnations });
    }

    /// Whether a bootstrap with these incarnations may replace the one that this store holds, if any. The earlier bootstrap can
    /// have led to further commits only through a quorum of its incarnations. If a quorum of them votes and none has a second
    /// entry, nothing further was committed.
    fn may_replace_bootstrap(&self, incarnations: &Incarnations) -> bool {
        let Some(Payload::Bootstrap(earlier)) = self.log.get(1).map(|entry| &entry.payload) else {
            return true;
        };
        let unchanged = earlier.iter().filter(|(member, known)| incarnations.get(*member) == Some(*known));
        unchanged.count() >= self.config.quorum()
    }

    pub(crate) fn on_bootstrap_request(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        term: u64,
        incarnations: &Incarnations,
    ) {
        let names_members = incarnations.len() == self.config.members.len()
            && incarnations.keys().eq(self.config.members.iter());
        if !names_members
            || self.bootstrap_member() != Some(from)
            || incarnations.get(from) != Some(&incarnation)
        {
            self.counters.malformed += 1;
            return;
        }
        let names_this_store = incarnations.get(&self.config.own_id) == Some(&self.incarnation);
        let is_willing = names_this_store && self.may_replace_bootstrap(incarnations);
        if self.is_bootstrapped() || !is_willing || !self.storage.is_healthy() || !self.has_write_capacity() {
            self.counters.stale += 1;
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        self.answer_vote_request(from, incarnation, term, true);
    }
}
