//! A member's part in migrations: its write fence, its copiers, and its reports on both.
mod chunk;
mod copier;
mod copy_order;
mod fence;
mod in_flight;
mod permission;
mod report;

pub use copy_order::{CopyOrder, CopyResult, CopyWork};
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

/// The shard of volumes that an agent serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Shard {
    number: u32,
    count: u32,
}

/// The agent of a member, or of the shard of it that serves certain volumes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberAgent {
    /// Which blocks may be used where.
    pub fence: WriteFence,
    copiers: BTreeMap<CopierId, Copier>,
    reports: ReportLog,
    shard: Shard,
}

/// What an agent has its host do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentOutput {
    /// Commands to propose to the log.
    pub commands: Vec<Command>,
    /// Copies to carry out.
    pub orders: Vec<CopyOrder>,
}

impl MemberAgent {
    /// The agent of a process that starts, with the state that it has kept of the log.
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

    /// Whether a command may be sent now: see [`WriteFence::permit`].
    pub fn permit(&mut self, now: Time, volume: &Volume, blocks: BlockRange, is_write: bool) -> Permission {
        self.fence.permit(now, volume, blocks, is_write)
    }

    /// A command has ended: see [`WriteFence::finish`].
    pub fn finish(&mut self, ticket: u64, now: Time, result: CommandResult) -> Reply {
        self.fence.finish(ticket, now, result)
    }

    /// Takes over what this member has applied of the log.
    pub fn update(&mut self, state: Arc<ReshardingState>) {
        self.fence.update(state);
    }

    /// A lease was granted that was asked for at `asked`, when the log was committed up to `committed`.
    pub fn renew_lease(&mut self, asked: Time, committed: Index) {
        self.fence.renew_lease(asked, committed);
    }

    /// A copy order has ended.
    pub fn finish_copy(&mut self, order: &CopyOrder, now: Time, result: CopyResult) {
        let id = CopierId { migration: order.migration, assignment: order.assignment };
        if let Some(copier) = self.copiers.get_mut(&id) {
            copier.finish(order.token, now, result);
        }
    }

    /// Whether a copy order may be sent now. To be asked right before.
    pub fn may_send_copy(&self, order: &CopyOrder, now: Time) -> bool {
        let id = CopierId { migration: order.migration, assignment: order.assignment };
        now < order.deadline && self.copiers.contains_key(&id)
    }

    /// Returns what to report and what to copy next. To be called often. `spare_rate` tells what a backend can do beyond
    /// reservations, in units a second.
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

    /// Stops the copiers whose assignment has ended, and drops those that have nothing in flight.
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
        copier.pay(now, spare_rate, state.bounds.copy_share_permille);
        output.orders.extend(copier.next_orders(now, migration, state.applied, deadline));
        let is_urgent = matches!(migration.phase, Phase::HandOver { .. });
        output.commands.extend(copier.report(now, is_urgent));
    }
}
