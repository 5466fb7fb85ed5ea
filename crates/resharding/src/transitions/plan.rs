//! Transitions of plans: adopting volumes, replacing the plan, and beginning and cancelling steps.
use super::{Entry, CANCELLED_BY_OPERATOR};
use crate::block_set::BlockSet;
use crate::effect::Effect;
use crate::migration::{Migration, RangeMove};
use crate::phase::{MemberStanding, Phase};
use crate::plan::{Bounds, Step};
use crate::state::{ReshardingState, MAX_RANGES_PER_COMMAND, MAX_STEPS};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use std::collections::BTreeMap;

/// The reason of a rollback of a move that the new plan does not contain. Stored.
const PLAN_REPLACED: &str = "the plan was replaced";

impl ReshardingState {
    pub(super) fn adopt(
        &mut self,
        entry: &mut Entry,
        volume: &Volume,
        ranges: &[(BlockRange, BackendId)],
    ) -> bool {
        let mut sorted: Vec<BlockRange> = ranges.iter().map(|(blocks, _)| *blocks).collect();
        sorted.sort();
        let are_adjacent = sorted.windows(2).all(|pair| pair[0].end == pair[1].first);
        let starts_at_zero = sorted.first().is_some_and(|blocks| blocks.first == 0);
        let is_complete = are_adjacent && starts_at_zero && sorted.iter().all(|blocks| !blocks.is_empty());
        if self.placement.contains(volume) || !is_complete || ranges.len() > MAX_RANGES_PER_COMMAND {
            return false;
        }
        for (blocks, backend) in ranges {
            self.place(entry, volume, *blocks, backend);
        }
        true
    }

    /// Places blocks on a backend by the entry that is being applied.
    pub(super) fn place(
        &mut self,
        entry: &mut Entry,
        volume: &Volume,
        blocks: BlockRange,
        backend: &BackendId,
    ) {
        let epoch = entry.index;
        self.placement.place(volume, blocks, backend, epoch);
        let (volume, backend) = (volume.clone(), backend.clone());
        entry.effects.push(Effect::RangePlaced { volume, blocks, backend, epoch });
    }

    pub(super) fn replace_plan(
        &mut self,
        entry: &mut Entry,
        plan: &str,
        steps: &[Step],
        bounds: &Bounds,
    ) -> bool {
        let queue: BTreeMap<u32, Step> = steps.iter().map(|step| (step.id, step.clone())).collect();
        let are_unique = queue.len() == steps.len();
        if !are_unique || steps.len() > MAX_STEPS || steps.iter().any(|step| step.blocks.is_empty()) {
            return false;
        }
        self.plan = Some(plan.to_string());
        self.bounds = bounds.clone();
        self.done.clear();
        for id in self.migrations.keys().copied().collect::<Vec<Index>>() {
            let Some(migration) = self.migrations.get_mut(&id) else { continue };
            match steps.iter().find(|step| migration.range.matches_step(step)) {
                Some(step) => migration.range = RangeMove::from(step),
                None => {
                    // The move is not a step of the new plan, so its end must not mark a step as done.
                    migration.range.step = 0;
                    self.roll_back(entry, id, PLAN_REPLACED);
                }
            }
        }
        self.queue = queue;
        true
    }

    pub(super) fn begin(&mut self, entry: &mut Entry, step: u32) -> bool {
        let Some(queued) = self.queue.get(&step).cloned() else { return false };
        if self.check_step(&queued).is_err() {
            return false;
        }
        let is_on_source = self.placement.is_on(&queued.volume, queued.blocks, &queued.from);
        if !is_on_source || queued.from == queued.to {
            self.queue.remove(&step);
            let reason = format!("{} of {} are not on {}", queued.blocks, queued.volume, queued.from);
            entry.effects.push(Effect::StepDropped { step, reason });
            return true;
        }
        let unacknowledged = |member: &MemberId| (member.clone(), MemberStanding::Unacknowledged);
        let migration = Migration {
            range: RangeMove::from(&queued),
            phase: Phase::Prepare,
            members: self.present.iter().map(unacknowledged).collect(),
            migrator: None,
            last_migrator: None,
            uncopied: BlockSet::default(),
            copy_start: entry.index,
            unfreezes: 0,
            pending_acknowledgements: BTreeMap::new(),
            phase_start_ms: entry.time_ms,
        };
        let phase = migration.phase.name();
        self.migrations.insert(entry.index, migration);
        entry.effects.push(Effect::PhaseChanged { migration: entry.index, phase });
        true
    }

    /// Rolls a migration back and drops its step.
    pub(super) fn cancel(&mut self, entry: &mut Entry, id: Index) -> bool {
        let step = self.migrations.get(&id).map(|migration| migration.range.step);
        if !self.roll_back(entry, id, CANCELLED_BY_OPERATOR) {
            return false;
        }
        if let Some(step) = step {
            self.queue.remove(&step);
        }
        true
    }
}
