//! The configured members.
use super::Membership;
use crate::event::Action;
use crate::member::{MemberState, Seed};
use crate::settings::validate_seeds;
use cluster_types::MemberId;
use std::collections::BTreeSet;

impl Membership {
    /// The configured members except this one.
    pub(super) fn other_seeds(&self) -> Vec<Seed> {
        let me = &self.settings.me.member;
        self.settings.seeds.iter().filter(|seed| seed.member != *me).cloned().collect()
    }

    /// Replaces the configured members. An invalid list is rejected as a whole.
    pub(super) fn replace_seeds(&mut self, seeds: Vec<Seed>) {
        if validate_seeds(&self.settings.me, &seeds, self.settings.max_members).is_err() {
            self.counters.malformed += 1;
            return;
        }
        let names =
            |seeds: &[Seed]| -> BTreeSet<MemberId> { seeds.iter().map(|seed| seed.member.clone()).collect() };
        let before = names(&self.other_seeds());
        self.settings.seeds = seeds;
        let seeds = self.other_seeds();
        for member in before.difference(&names(&seeds)) {
            self.table.remove_seed(member, self.now);
            let entry = self.table.get(member);
            if !entry.is_some_and(|entry| self.is_allowed(entry.record.address.ip())) {
                self.remove_disallowed_member(member);
            }
        }
        for seed in &seeds {
            self.table.add_seed(seed, self.now);
        }
    }

    /// Removes a member that is no longer allowed in the group, and reports it as dead if it was live.
    fn remove_disallowed_member(&mut self, member: &MemberId) {
        if let Some(entry) = self.table.get(member).filter(|entry| entry.record.state.is_live()) {
            let incarnation = entry.record.incarnation();
            let state = MemberState::Dead;
            self.actions.push(Action::MemberChanged { member: member.clone(), state, incarnation });
        }
        self.remove_member(member);
    }
}
