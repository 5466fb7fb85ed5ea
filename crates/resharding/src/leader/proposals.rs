//! The commands that the leader proposes.
use super::waiting::{HandOverBackoff, StageSpan, WaitingStage};
use super::{Leader, LeaderView};
use crate::command::Command;
use crate::migration::Migration;
use crate::phase::Phase;
use crate::state::ReshardingState;
use cluster_types::{Index, MemberId, Time};
use std::time::Duration;

/// The delay before the next hand-over stops growing after this many timeouts.
const MAX_BACKOFF_EXPONENT: u32 = 4;

impl Leader {
    /// Returns the commands to append to the log next. Commands that were not applied are proposed again.
    pub fn propose(&mut self, now: Time, state: &ReshardingState, view: &LeaderView) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.leading_since.is_none() {
            return commands;
        }
        self.propose_revocations(now, state, &mut commands);
        self.stages.retain(|id, _| state.migrations.contains_key(id));
        self.backoffs.retain(|id, _| state.migrations.contains_key(id));
        for (id, migration) in &state.migrations {
            let waited = self.time_at_stage(now, *id, migration);
            commands.extend(self.propose_for(now, *id, migration, waited, state, view));
        }
        let ready_step = state.queue.values().find(|step| {
            let has_failed = view.failed.contains(&step.from) || view.failed.contains(&step.to);
            !has_failed && state.check_step(step).is_ok()
        });
        commands.extend(ready_step.map(|step| Command::Begin { step: step.id }));
        commands
    }

    fn propose_revocations(&mut self, now: Time, state: &ReshardingState, commands: &mut Vec<Command>) {
        for member in &state.present {
            let Some(incarnation) = state.leased_incarnation(member) else { continue };
            if self.has_expired(now, member) {
                self.expired_members.entry(member.clone()).or_insert(state.applied);
                commands.push(Command::Revoke { member: member.clone(), incarnation });
            }
        }
    }

    /// Returns how long the leader has seen a migration at its present stage.
    fn time_at_stage(&mut self, now: Time, id: Index, migration: &Migration) -> Duration {
        let stage = WaitingStage::from(&migration.phase);
        let span = self.stages.entry(id).or_insert(StageSpan { stage, since: now });
        if span.stage != stage {
            *span = StageSpan { stage, since: now };
        }
        now.since(span.since)
    }

    fn propose_for(
        &mut self,
        now: Time,
        id: Index,
        migration: &Migration,
        waited: Duration,
        state: &ReshardingState,
        view: &LeaderView,
    ) -> Option<Command> {
        let range = &migration.range;
        if migration.phase.is_reversible() && view.failed.contains(&range.to) {
            return Some(Command::RollBack {
                migration: id,
                reason: format!("{} does not answer", range.to),
            });
        }
        match &migration.phase {
            phase if phase.is_copying() && migration.migrator.is_none() => {
                let migrator = self.choose_migrator(now, migration, state)?;
                Some(Command::AssignMigrator { migration: id, migrator })
            }
            Phase::CatchUp => {
                let is_source_up = !view.failed.contains(&range.from);
                let is_small = migration.uncopied.len() <= self.settings.hand_over_blocks;
                let is_ready = is_source_up && is_small && !migration.has_deposed_migrator();
                let has_backed_off = self.backoffs.get(&id).is_none_or(|backoff| now >= backoff.until);
                (is_ready && has_backed_off).then_some(Command::Freeze { migration: id })
            }
            Phase::HandOver { freeze, .. } if waited > self.settings.hand_over_timeout => {
                self.back_off(now, id);
                Some(Command::Unfreeze { migration: id, freeze: *freeze })
            }
            Phase::Release { .. } | Phase::RolledBack { .. } => {
                let may_release = state.is_releasable(migration) && waited > self.settings.max_command_time;
                may_release.then_some(Command::Release { migration: id })
            }
            _ => None,
        }
    }

    /// Delays the next hand-over exponentially with the number of hand-over timeouts.
    fn back_off(&mut self, now: Time, id: Index) {
        let failures =
            self.backoffs.get(&id).map_or(1, |backoff| (backoff.failures + 1).min(MAX_BACKOFF_EXPONENT));
        let until = now + self.settings.hand_over_timeout * 2u32.pow(failures);
        self.backoffs.insert(id, HandOverBackoff { failures, until });
    }

    /// Chooses the next migrator: a member with a recently granted lease and the fewest copies, and not the last
    /// migrator again if another member is available.
    fn choose_migrator(&self, now: Time, migration: &Migration, state: &ReshardingState) -> Option<MemberId> {
        let copy_count = |member: &MemberId| {
            let migrators = state.migrations.values().filter_map(|other| other.migrator.as_ref());
            migrators.filter(|(migrator, _)| migrator == member).count()
        };
        let is_recent = |member: &MemberId| {
            self.time_since_grant(now, member).is_some_and(|span| span < self.settings.lease)
        };
        let leased = migration.members.iter().filter(|(_, standing)| standing.is_leased());
        let candidates = leased.map(|(member, _)| member).filter(|member| is_recent(member));
        let rank = |member: &&MemberId| {
            let is_last = migration.last_migrator.as_ref() == Some(*member);
            (is_last, copy_count(member), (*member).clone())
        };
        candidates.min_by_key(rank).cloned()
    }
}
