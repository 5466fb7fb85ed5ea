//! A member's part in migrations: its write fence, its copiers, and the reports of both.
mod chunk;
mod copier;
mod copy_task;
mod fence;
mod in_flight;
mod permission;
mod report;

pub use copy_task::{CopyOperation, CopyResult, CopyTask};
pub use fence::WriteFence;
pub use permission::{CommandResult, DenialReason, FenceCounters, ManagedVolumes, Permission, Reply};

use crate::command::Command;
use crate::migration::Migration;
use crate::phase::Phase;
use crate::settings::{shard_of, Settings};
use crate::state::ReshardingState;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use copier::Copier;
use report::{ReportKind, ReportLog};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A migration and the assignment under which this member copies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct CopierId {
    migration: Index,
    assignment: Index,
}

/// The shard of the volumes that an agent serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Shard {
    number: u32,
    count: u32,
}

/// The agent of a member, or of one shard of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberAgent {
    /// Decides which commands may be sent.
    pub fence: WriteFence,
    copiers: BTreeMap<CopierId, Copier>,
    reports: ReportLog,
    shard: Shard,
}

/// What the host of an agent has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentOutput {
    /// Commands to propose to the log.
    pub commands: Vec<Command>,
    /// Copy tasks to execute.
    pub tasks: Vec<CopyTask>,
}

impl MemberAgent {
    /// Creates the agent of a starting process, with the replicated state that the process has stored.
    pub fn new(
        member: MemberId,
        incarnation: u64,
        settings: Settings,
        managed: ManagedVolumes,
        state: Arc<ReshardingState>,
        now: Time,
    ) -> MemberAgent {
        let fence = WriteFence::new(member, incarnation, settings, managed, state, now);
        let shard = Shard { number: 0, count: 1 };
        MemberAgent { fence, copiers: BTreeMap::new(), reports: ReportLog::default(), shard }
    }

    /// Limits the agent to the volumes of one shard.
    pub fn with_shard(mut self, number: u32, count: u32) -> MemberAgent {
        self.shard = Shard { number, count: count.max(1) };
        self
    }

    /// Decides whether a command may be sent now: see [`WriteFence::permit`].
    pub fn permit(&mut self, now: Time, volume: &Volume, blocks: BlockRange, is_write: bool) -> Permission {
        self.fence.permit(now, volume, blocks, is_write)
    }

    /// Records the result of a command: see [`WriteFence::finish`].
    pub fn finish(&mut self, ticket: u64, now: Time, result: CommandResult) -> Reply {
        self.fence.finish(ticket, now, result)
    }

    /// Replaces the replicated state by a newer one.
    pub fn update(&mut self, state: Arc<ReshardingState>) {
        self.fence.update(state);
    }

    /// Records a lease that was requested at `requested_at` and granted when the log was committed up to `committed`.
    pub fn renew_lease(&mut self, requested_at: Time, committed: Index) {
        self.fence.renew_lease(requested_at, committed);
    }

    /// Records the result of a copy task.
    pub fn finish_copy(&mut self, task: &CopyTask, now: Time, result: CopyResult) {
        let id = CopierId { migration: task.migration, assignment: task.assignment };
        if let Some(copier) = self.copiers.get_mut(&id) {
            copier.finish(task.token, now, result);
        }
    }

    /// Whether a copy task may be sent now. Call it immediately before sending.
    pub fn may_send_copy(&self, task: &CopyTask, now: Time) -> bool {
        let id = CopierId { migration: task.migration, assignment: task.assignment };
        now < task.deadline && self.copiers.contains_key(&id)
    }

    /// Returns the reports and copy tasks that are due. Call it often. `spare_rate` returns the rate of a backend
    /// beyond its reservations, in units per second.
    pub fn step(&mut self, now: Time, spare_rate: &dyn Fn(&BackendId) -> u64) -> AgentOutput {
        let state = Arc::clone(&self.fence.state);
        let mut output = AgentOutput::default();
        self.fence.expire_unresolved(now);
        self.reports.retain(&state);
        self.stop_deposed_copiers(now, &state);
        for (id, migration) in &state.migrations {
            if shard_of(&migration.range.volume, self.shard.count) == self.shard.number {
                self.copy(now, *id, migration, &state, spare_rate, &mut output);
                output.commands.extend(self.report_use(now, *id, migration, &state));
            }
        }
        output
    }

    /// Stops the copiers whose assignment has ended, and drops those of them that are idle.
    fn stop_deposed_copiers(&mut self, now: Time, state: &ReshardingState) {
        let member = &self.fence.member;
        let is_assigned = |id: &CopierId| {
            let migration = state.migrations.get(&id.migration);
            migration.is_some_and(|migration| migration.is_migrator(member, id.assignment))
        };
        for (id, copier) in &mut self.copiers {
            if !is_assigned(id) {
                copier.stop(now);
            }
        }
        self.copiers.retain(|id, copier| is_assigned(id) || !copier.is_idle());
    }

    /// Copies the next chunks of a migration that is assigned to this member.
    fn copy(
        &mut self,
        now: Time,
        id: Index,
        migration: &Migration,
        state: &ReshardingState,
        spare_rate: &dyn Fn(&BackendId) -> u64,
        output: &mut AgentOutput,
    ) {
        let fence = &self.fence;
        let migrator = migration.migrator.as_ref().filter(|(migrator, _)| *migrator == fence.member);
        let Some(&(_, assignment)) = migrator else { return };
        let standing = migration.members.get(&fence.member);
        if !standing.is_some_and(|standing| standing.is_leased_in(fence.incarnation)) {
            return;
        }
        let copier = self
            .copiers
            .entry(CopierId { migration: id, assignment })
            .or_insert_with(|| Copier::new(id, assignment, fence.settings.clone(), now));
        if !migration.phase.is_copying() || copier.is_failing() {
            copier.stop(now);
            let interval = fence.settings.report_interval;
            if copier.is_idle() && self.reports.is_due(now, id, ReportKind::Stopped, assignment, interval) {
                output.commands.push(Command::ReportStopped { migration: id, assignment });
            }
            return;
        }
        let deadline = if fence.has_lease(now) { fence.lease_end() } else { now };
        let spare_rate = spare_rate(&migration.range.from).min(spare_rate(&migration.range.to));
        copier.refill_budget(now, spare_rate, state.bounds.copy_share_permille);
        output.tasks.extend(copier.next_tasks(now, migration, state.applied, deadline));
        let is_urgent = matches!(migration.phase, Phase::HandOver { .. });
        output.commands.extend(copier.report(now, is_urgent));
    }
}
