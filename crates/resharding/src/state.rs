//! The replicated state of all migrations. Each member derives it from its own copy of the log.
use crate::migration::Migration;
use crate::phase::MemberStanding;
use crate::placement::Placement;
use crate::plan::{Bounds, Step};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// The number of ended migrations that are kept for operators.
pub const MAX_ENDED: usize = 256;
/// The maximum number of steps of a plan.
pub const MAX_STEPS: usize = 4096;
/// The maximum number of ranges in one command.
pub const MAX_RANGES_PER_COMMAND: usize = 512;

/// The state of all migrations. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReshardingState {
    /// The backend of each range.
    pub placement: Placement,
    /// The members that are present.
    pub present: BTreeSet<MemberId>,
    /// The newest incarnation of each member that was ever present. Reports of older incarnations are ignored.
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
    /// The migrations that ended most recently: the step and the outcome.
    pub ended: VecDeque<(u32, String)>,
    /// The log index of the newest revocation of each member.
    pub revocations: BTreeMap<MemberId, Index>,
    /// The log index of the newest command that restricted all members: a freeze or a switch.
    pub fence: Index,
    /// The log index of the last applied command.
    pub applied: Index,
    /// The number of late, repeated or invalid commands, which changed nothing.
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
    RangeMigrating {
        /// The blocks that migrate.
        blocks: BlockRange,
        /// Their volume.
        volume: Volume,
    },
    /// The maximum number of migrations are running.
    #[error("{running} moves run, as many as the plan allows")]
    TooManyMigrations {
        /// How many run.
        running: usize,
    },
    /// The maximum number of migrations are running from or to a backend.
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

    /// The log index that a member must have applied to be granted a lease.
    pub fn fence_of(&self, member: &MemberId) -> Index {
        self.fence.max(self.last_revocation(member))
    }

    /// The incarnation in which a member uses some migrating range under a lease.
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
    /// Returns what the step has to wait for.
    pub fn check_step(&self, step: &Step) -> Result<(), StepBlocked> {
        if let Some(dependency) = step.after.iter().find(|id| !self.done.contains(id)) {
            return Err(StepBlocked::Dependency(*dependency));
        }
        if let Some((_, other)) = self.migrations_over(&step.volume, &step.blocks).next() {
            let (blocks, volume) = (other.range.blocks, other.range.volume.clone());
            return Err(StepBlocked::RangeMigrating { blocks, volume });
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
