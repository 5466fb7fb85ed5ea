//! Transitions of a running migration: the reports of members and the commands of the leader.
use super::Entry;
use crate::phase::{MemberStanding, Phase};
use crate::state::{ReshardingState, MAX_RANGES_PER_COMMAND};
use cluster_types::{BlockRange, Index, MemberId};
use std::collections::BTreeSet;

impl ReshardingState {
    fn is_current(&self, member: &MemberId, incarnation: u64) -> bool {
        self.incarnations.get(member) == Some(&incarnation)
    }

    pub(super) fn acknowledge(
        &mut self,
        entry: &mut Entry,
        id: Index,
        incarnation: u64,
        last_revocation: Index,
    ) -> bool {
        let member = entry.issuer;
        let is_current =
            self.is_current(member, incarnation) && last_revocation >= self.last_revocation(member);
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        if !is_current || !migration.phase.is_reversible() {
            return false;
        }
        match migration.members.get_mut(member) {
            Some(standing @ (MemberStanding::Unacknowledged | MemberStanding::Revoked)) => {
                *standing = MemberStanding::Leased { incarnation, last_report: 0 };
            }
            _ => return false,
        }
        let has_copied = migration.pending_acknowledgements.remove(member).flatten().is_some();
        self.recopy_after_deposition(entry, id, member, has_copied);
        self.advance(entry, id);
        true
    }

    pub(super) fn assign_migrator(&mut self, entry: &Entry, id: Index, migrator: &MemberId) -> bool {
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        let is_leased = migration.members.get(migrator).is_some_and(MemberStanding::is_leased);
        if !migration.phase.is_copying() || !is_leased || migration.migrator.is_some() {
            return false;
        }
        migration.migrator = Some((migrator.clone(), entry.index));
        migration.last_migrator = Some(migrator.clone());
        true
    }

    pub(super) fn report_writes(
        &mut self,
        entry: &Entry,
        id: Index,
        incarnation: u64,
        report: u64,
        blocks: &[BlockRange],
    ) -> bool {
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        let standing = migration.members.get_mut(entry.issuer);
        let Some(MemberStanding::Leased { incarnation: leased, last_report }) = standing else {
            return false;
        };
        if *leased != incarnation || blocks.len() > MAX_RANGES_PER_COMMAND {
            return false;
        }
        *last_report = report.max(*last_report);
        // In the prepare phase nothing is copied yet, so the written blocks need no record.
        if migration.phase.is_copying() {
            let range = migration.range.blocks;
            for written in blocks {
                let first = written.first.max(range.first);
                let within = BlockRange { first, end: written.end.min(range.end) };
                migration.uncopied.add(within, entry.index);
            }
        }
        true
    }

    pub(super) fn report_copied(
        &mut self,
        entry: &mut Entry,
        id: Index,
        assignment: Index,
        chunks: &[(BlockRange, Index)],
    ) -> bool {
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        let is_migrator = migration.is_migrator(entry.issuer, assignment);
        if !is_migrator || !migration.phase.is_copying() || chunks.len() > MAX_RANGES_PER_COMMAND {
            return false;
        }
        for (blocks, read_index) in chunks {
            migration.uncopied.remove(*blocks, (*read_index).min(entry.index));
        }
        self.advance(entry, id);
        true
    }

    pub(super) fn report_stopped(&mut self, entry: &mut Entry, id: Index, assignment: Index) -> bool {
        let member = entry.issuer;
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        let is_migrator = migration.is_migrator(member, assignment);
        if is_migrator {
            migration.migrator = None;
        }
        let is_deposed = migration.pending_acknowledgements.get(member) == Some(&Some(assignment));
        if is_deposed {
            migration.pending_acknowledgements.insert(member.clone(), None);
        }
        self.recopy_after_deposition(entry, id, member, is_deposed);
        self.advance(entry, id);
        is_migrator || is_deposed
    }

    pub(super) fn freeze(&mut self, entry: &mut Entry, id: Index) -> bool {
        let Some(migration) = self.migrations.get(&id) else { return false };
        let is_ready = migration.phase == Phase::CatchUp && migration.migrator.is_some();
        if !is_ready || migration.has_deposed_migrator() {
            return false;
        }
        self.fence = entry.index;
        self.enter_phase(entry, id, Phase::HandOver { freeze: entry.index, quiet: BTreeSet::new() });
        true
    }

    /// Whether a member has not been reported as quiet yet for this freeze.
    pub(super) fn awaits_quiet(&self, id: Index, freeze: Index, member: &MemberId) -> bool {
        let Some(migration) = self.migrations.get(&id) else { return false };
        match &migration.phase {
            Phase::HandOver { freeze: present, quiet } => *present == freeze && !quiet.contains(member),
            _ => false,
        }
    }

    pub(super) fn note_quiet(&mut self, entry: &mut Entry, id: Index) -> bool {
        let migration = self.migrations.get_mut(&id);
        if let Some(Phase::HandOver { quiet, .. }) = migration.map(|migration| &mut migration.phase) {
            quiet.insert(entry.issuer.clone());
        }
        self.advance(entry, id);
        true
    }

    pub(super) fn unfreeze(&mut self, entry: &mut Entry, id: Index, freeze: Index) -> bool {
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        if !matches!(&migration.phase, Phase::HandOver { freeze: present, .. } if *present == freeze) {
            return false;
        }
        migration.unfreezes = migration.unfreezes.saturating_add(1);
        self.enter_phase(entry, id, Phase::CatchUp);
        true
    }

    pub(super) fn confirm_switch(&mut self, entry: &mut Entry, id: Index, incarnation: u64) -> bool {
        let member = entry.issuer;
        if !self.is_current(member, incarnation) {
            return false;
        }
        let Some(migration) = self.migrations.get_mut(&id) else { return false };
        let Some(standing) = migration.members.get(member) else { return false };
        match &mut migration.phase {
            Phase::Switch { confirmed, .. } if standing.is_leased_in(incarnation) => {
                confirmed.insert(member.clone());
            }
            Phase::Switch { .. } | Phase::Release { .. } if *standing == MemberStanding::Revoked => {}
            _ => return false,
        }
        migration.pending_acknowledgements.remove(member);
        self.advance(entry, id);
        true
    }
}
