//! The phase changes of migrations, after each command that affects them.
use super::Entry;
use crate::effect::Effect;
use crate::migration::Migration;
use crate::phase::Phase;
use crate::state::{ReshardingState, MAX_ENDED};
use cluster_types::{Index, MemberId};
use std::collections::BTreeSet;

/// The outcome of a migration that was not rolled back. Stored.
const DONE: &str = "done";

impl ReshardingState {
    pub(super) fn enter_phase(&mut self, entry: &mut Entry, id: Index, phase: Phase) {
        if let Some(migration) = self.migrations.get_mut(&id) {
            entry.effects.push(Effect::PhaseChanged { migration: id, phase: phase.name() });
            migration.phase = phase;
            migration.phase_start_ms = entry.time_ms;
        }
    }

    /// Moves a migration forward through all phases that are complete.
    pub(super) fn advance(&mut self, entry: &mut Entry, id: Index) {
        while let Some(next) = self.next_phase(entry, id) {
            self.enter_phase(entry, id, next);
        }
    }

    /// Returns the next phase if the present one is complete, and prepares the state for it.
    fn next_phase(&mut self, entry: &mut Entry, id: Index) -> Option<Phase> {
        let migration = self.migrations.get_mut(&id)?;
        match &migration.phase {
            Phase::Prepare if !migration.has_unacknowledged_member() => {
                migration.restart_copy(entry.index);
                Some(Phase::Copy)
            }
            Phase::Copy => {
                let is_copied = migration.uncopied.iter().all(|(_, touched)| touched > migration.copy_start);
                is_copied.then_some(Phase::CatchUp)
            }
            Phase::HandOver { quiet, .. } => {
                let are_quiet = migration.all_leased_members(|member| quiet.contains(member));
                let is_settled = !migration.has_unacknowledged_member() && !migration.has_deposed_migrator();
                if !are_quiet || !is_settled || !migration.uncopied.is_empty() {
                    return None;
                }
                migration.migrator = None;
                let range = migration.range.clone();
                self.place(entry, &range.volume, range.blocks, &range.to);
                self.fence = entry.index;
                Some(Phase::Switch { epoch: entry.index, confirmed: BTreeSet::new() })
            }
            Phase::Switch { epoch, confirmed } => {
                let are_informed = migration.all_leased_members(|member| confirmed.contains(member));
                are_informed.then_some(Phase::Release { epoch: *epoch })
            }
            Phase::Prepare | Phase::CatchUp | Phase::Release { .. } | Phase::RolledBack { .. } => None,
        }
    }

    /// Restarts the copy of all blocks, since the present copy may lack writes of a member or may have been
    /// overwritten.
    pub(super) fn restart_copy(&mut self, entry: &mut Entry, id: Index, member: &MemberId) {
        if let Some(migration) = self.migrations.get_mut(&id) {
            migration.restart_copy(entry.index);
            entry.effects.push(Effect::CopyRestarted { migration: id, member: member.clone() });
            self.enter_phase(entry, id, Phase::Copy);
        }
    }

    /// Restarts the copy if a deposed migrator `has_copied`: until it confirmed that its copies had ended, a late copy
    /// may have overwritten blocks that other members copied since.
    pub(super) fn recopy_after_deposition(
        &mut self,
        entry: &mut Entry,
        id: Index,
        member: &MemberId,
        has_copied: bool,
    ) {
        let is_copying = self.migrations.get(&id).is_some_and(|migration| migration.phase.is_copying());
        if has_copied && is_copying {
            self.restart_copy(entry, id, member);
        }
    }

    /// Rolls a migration back to its source backend. Returns whether that was still possible.
    pub(super) fn roll_back(&mut self, entry: &mut Entry, id: Index, reason: &str) -> bool {
        let is_reversible = self.migrations.get(&id).is_some_and(|migration| migration.phase.is_reversible());
        if is_reversible {
            self.enter_phase(entry, id, Phase::RolledBack { reason: reason.to_string() });
        }
        is_reversible
    }

    /// Whether the range that a migration vacates can be reused once the maximum command time has passed.
    pub fn is_releasable(&self, migration: &Migration) -> bool {
        match &migration.phase {
            Phase::Release { .. } => migration.pending_acknowledgements.is_empty(),
            Phase::RolledBack { .. } => migration.migrator.is_none() && !migration.has_deposed_migrator(),
            _ => false,
        }
    }

    /// Ends a migration and frees the range that it vacates.
    pub(super) fn release(&mut self, entry: &mut Entry, id: Index) -> bool {
        if !self.migrations.get(&id).is_some_and(|migration| self.is_releasable(migration)) {
            return false;
        }
        let Some(Migration { range, phase, .. }) = self.migrations.remove(&id) else { return false };
        let (backend, ending) = match &phase {
            Phase::RolledBack { reason } => (range.to.clone(), format!("went back: {reason}")),
            _ => (range.from.clone(), DONE.to_string()),
        };
        if ending == DONE && self.queue.get(&range.step).is_some_and(|step| range.matches_step(step)) {
            self.queue.remove(&range.step);
            self.done.insert(range.step);
        }
        entry.effects.push(Effect::PhaseChanged { migration: id, phase: "ended" });
        entry.effects.push(Effect::RangeFreed { backend, volume: range.volume, blocks: range.blocks });
        self.ended.push_back((range.step, ending));
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        true
    }
}
