//! The replicated state of all migrations, which each member reads from its own copy of the log.
use crate::migration::Migration;
use crate::phase::MemberStanding;
use crate::placement::Placement;
use crate::plan::{Bounds, Step};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// Ended migrations that are remembered for operators.
pub const MAX_ENDED: usize = 256;
/// Steps of a plan.
pub const MAX_STEPS: usize = 4096;
/// Ranges in one command.
pub const MAX_RANGES_PER_COMMAND: usize = 512;

/// The state of all migrations. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReshardingState {
    /// Where ranges are.
    pub placement: Placement,
    /// The members that are present.
    pub present: BTreeSet<MemberId>,
    /// The newest incarnation of each member that ever was present: reports of an older one are ignored.
    pub incarnations: BTreeMap<MemberId, u64>,
    /// The name of the plan.
    pub plan: Option<String>,
    /// Its bounds.
    pub bounds: Bounds,
    /// Its steps that are not done.
    pub queue: BTreeMap<u32, Step>,
    /// Its steps that are done.
    pub done: BTreeSet<u32>,
    /// The running migrations, by the log index of the command that began each.
    pub migrations: BTreeMap<Index, Migration>,
    /// The migrations that ended last: the step, and how it ended.
    pub ended: VecDeque<(u32, String)>,
    /// The log index of the newest revocation of each member.
    pub revocations: BTreeMap<MemberId, Index>,
    /// The log index of the newest command that took a right away from all members.
    pub fence: Index,
    /// The log index of the last applied command.
    pub applied: Index,
    /// Commands that came too late or twice, or were wrong, and changed nothing.
    pub ignored: u64,
}

/// Why a step can't begin yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StepBlocked {
    /// It depends on a step that is not done.
    #[error("step {0} has to be done before")]
    Dependency(u32),
    /// Some of its blocks are migrating.
    #[error("{blocks} of {volume} are in motion")]
    RangeInMotion {
        /// The blocks that migrate.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
    },
    /// As many migrations run as the plan allows.
    #[error("{running} moves run, as many as the plan allows")]
    TooManyMigrations {
        /// How many run.
        running: usize,
    },
    /// As many migrations run from or to a backend as the plan allows.
    #[error("{running} moves run at {backend}, as many as the plan allows")]
    BackendBusy {
        /// The backend.
        backend: BackendId,
        /// How many run there.
        running: usize,
    },
}

impl ReshardingState {
    /// A state without volumes or members.
    pub fn new() -> ReshardingState {
        ReshardingState::default()
    }

    /// The log index of the newest revocation of a member.
    pub fn last_revocation(&self, member: &MemberId) -> Index {
        self.revocations.get(member).copied().unwrap_or_default()
    }

    /// How far a member must have applied the log to be granted a lease.
    pub fn fence_of(&self, member: &MemberId) -> Index {
        self.fence.max(self.last_revocation(member))
    }

    /// The incarnation in which a member has a right to some migrating range.
    pub fn leased_incarnation(&self, member: &MemberId) -> Option<u64> {
        self.migrations.values().find_map(|migration| match migration.members.get(member) {
            Some(MemberStanding::Leased { incarnation, .. }) => Some(*incarnation),
            _ => None,
        })
    }

    /// The migrations that touch these blocks.
    pub fn migrations_over<'a>(
        &'a self,
        volume: &'a Volume,
        blocks: &'a BlockRange,
    ) -> impl Iterator<Item = (Index, &'a Migration)> + 'a {
        let touches = move |migration: &Migration| {
            migration.range.volume == *volume && migration.range.blocks.overlaps(blocks)
        };
        self.migrations
            .iter()
            .filter(move |(_, migration)| touches(migration))
            .map(|(id, migration)| (*id, migration))
    }

    /// Whether a step can begin now.
    ///
    /// # Errors
    ///
    /// Returns what it has to wait for.
    pub fn check_step(&self, step: &Step) -> Result<(), StepBlocked> {
        if let Some(dependency) = step.after.iter().find(|id| !self.done.contains(id)) {
            return Err(StepBlocked::Dependency(*dependency));
        }
        if let Some((_, other)) = self.migrations_over(&step.volume, &step.blocks).next() {
            let (blocks, volume) = (other.range.blocks, other.range.volume.clone());
            return Err(StepBlocked::RangeInMotion { blocks, volume });
        }
        if self.migrations.len() >= self.bounds.max_migrations as usize {
            return Err(StepBlocked::TooManyMigrations { running: self.migrations.len() });
        }
        for backend in [&step.from, &step.to] {
            let uses =
                |migration: &&Migration| migration.range.from == *backend || migration.range.to == *backend;
            let running = self.migrations.values().filter(uses).count();
            if running >= self.bounds.max_per_backend as usize {
                return Err(StepBlocked::BackendBusy { backend: backend.clone(), running });
            }
        }
        Ok(())
    }
}
