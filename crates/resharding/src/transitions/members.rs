//! Transitions of members: join, leave, revocation, and the declaration as dead.
use super::Entry;
use crate::phase::{MemberStanding, Phase};
use crate::state::ReshardingState;
use cluster_types::{Index, MemberId};

impl ReshardingState {
    fn migration_ids(&self) -> Vec<Index> {
        self.migrations.keys().copied().collect()
    }

    pub(super) fn join(&mut self, member: &MemberId, incarnation: u64) -> bool {
        if self.incarnations.get(member).is_some_and(|known| *known >= incarnation) {
            return false;
        }
        self.incarnations.insert(member.clone(), incarnation);
        self.present.insert(member.clone());
        for migration in self.migrations.values_mut() {
            migration.members.entry(member.clone()).or_insert(MemberStanding::Revoked);
        }
        true
    }

    pub(super) fn leave(&mut self, entry: &mut Entry, incarnation: u64) -> bool {
        let member = entry.issuer;
        if self.incarnations.get(member) != Some(&incarnation) {
            return false;
        }
        let was_present = self.present.remove(member);
        for id in self.migration_ids() {
            if let Some(migration) = self.migrations.get_mut(&id).filter(|_| was_present) {
                migration.members.remove(member);
                migration.pending_acknowledgements.remove(member);
                migration.migrator = migration.migrator.take().filter(|(migrator, _)| migrator != member);
            }
            self.advance(entry, id);
        }
        was_present
    }

    /// Revokes a member's rights to all migrating ranges.
    pub(super) fn revoke(&mut self, entry: &mut Entry, member: &MemberId, incarnation: u64) -> bool {
        self.revocations.insert(member.clone(), entry.index);
        for id in self.migration_ids() {
            self.revoke_in(entry, id, member, incarnation);
        }
        true
    }

    fn revoke_in(&mut self, entry: &mut Entry, id: Index, member: &MemberId, incarnation: u64) {
        let Some(migration) = self.migrations.get_mut(&id) else { return };
        if !migration.members.get(member).is_some_and(|standing| standing.is_leased_in(incarnation)) {
            return;
        }
        migration.members.insert(member.clone(), MemberStanding::Revoked);
        let copied = migration.migrator.take_if(|(migrator, _)| migrator == member);
        let assignment = copied.map(|(_, assignment)| assignment);
        let earlier = migration.pending_acknowledgements.get(member).copied().flatten();
        migration.pending_acknowledgements.insert(member.clone(), assignment.or(earlier));
        let are_writes_known = match &migration.phase {
            // A quiet member has reported all its writes, and does not write again before it has applied an unfreeze.
            Phase::HandOver { quiet, .. } => assignment.is_none() && quiet.contains(member),
            phase => !phase.is_copying(),
        };
        if !are_writes_known {
            self.restart_copy(entry, id, member);
        }
        self.advance(entry, id);
    }

    pub(super) fn declare_dead(&mut self, entry: &mut Entry, member: &MemberId) -> bool {
        self.revocations.insert(member.clone(), entry.index);
        let mut has_changed = false;
        for id in self.migration_ids() {
            let mut has_copied = false;
            if let Some(migration) = self.migrations.get_mut(&id) {
                let pending = migration.pending_acknowledgements.remove(member);
                has_copied = pending.flatten().is_some();
                has_changed |= pending.is_some();
                let standing = migration.members.get_mut(member);
                if let Some(standing) = standing.filter(|known| **known == MemberStanding::Unacknowledged) {
                    *standing = MemberStanding::Revoked;
                    has_changed = true;
                }
            }
            self.recopy_after_deposition(entry, id, member, has_copied);
            self.advance(entry, id);
        }
        has_changed
    }
}
