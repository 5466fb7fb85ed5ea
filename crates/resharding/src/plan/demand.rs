//! The difference between the present and the wanted placement: the blocks that have to move, and their target
//! backends.
use super::cluster_view::{BackendView, ClusterView, Occupancy};
use super::error::{PlanError, PlanProblem};
use super::names::NamedBackends;
use super::{CrossZoneOrder, Plan, Target};
use crate::placement::PlacedRange;
use cluster_types::{BackendId, BlockRange, Volume};
use std::cmp::Reverse;

/// Blocks that have to move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Demand {
    pub(super) volume: Volume,
    pub(super) blocks: BlockRange,
    /// The backend that has them.
    pub(super) from: BackendId,
    /// The backend that gets them.
    pub(super) to: BackendId,
    /// The key of the plan that requires the move.
    pub(super) key: String,
    /// Why, for operators.
    pub(super) reason: String,
    /// Whether the move helps to empty a backend.
    pub(super) is_emptying: bool,
}

impl Demand {
    /// The sort key: first the order between zones, then whether the move empties a backend, then volume, blocks and
    /// target.
    pub(super) fn rank(&self, cross_zone: CrossZoneOrder, view: &ClusterView) -> impl Ord {
        let leaves_zone = view.zone(&self.from) != view.zone(&self.to);
        let is_late = match cross_zone {
            CrossZoneOrder::ExportsFirst => !leaves_zone,
            CrossZoneOrder::Last | CrossZoneOrder::Never => leaves_zone,
        };
        (is_late, !self.is_emptying, self.volume.clone(), self.blocks, self.to.clone())
    }
}

/// Returns all demands of a plan in a deterministic order.
pub(super) fn find_demands(
    plan: &Plan,
    named: &NamedBackends,
    view: &ClusterView,
) -> Result<Vec<Demand>, PlanError> {
    let mut search = DemandSearch { plan, named, view, end: view.occupancy(), demands: Vec::new() };
    for (number, (target, to)) in plan.targets.iter().zip(&named.targets).enumerate() {
        search.add_target(number, target, to);
    }
    // Volumes that the plan does not place, but that have blocks on a backend to be emptied.
    for volume in view.placement.volumes() {
        if plan.targets.iter().any(|target| target.volume == *volume) {
            continue;
        }
        for placed in view.placement.ranges(volume) {
            if let Some(key) = named.emptied.get(&placed.backend) {
                search.empty_range(key, volume, &placed)?;
            }
        }
    }
    Ok(search.demands)
}

struct DemandSearch<'a> {
    plan: &'a Plan,
    named: &'a NamedBackends,
    view: &'a ClusterView,
    /// The blocks on each backend once all demands so far are satisfied.
    end: Occupancy,
    demands: Vec<Demand>,
}

impl DemandSearch<'_> {
    fn add(&mut self, demand: Demand) {
        self.end.remove(&demand.volume, demand.blocks, &demand.from);
        self.end.add(&demand.volume, demand.blocks, &demand.to);
        self.demands.push(demand);
    }

    fn add_target(&mut self, number: usize, target: &Target, to: &BackendId) {
        let volume = &target.volume;
        for placed in self.view.placement.lookup(volume, target.blocks).unwrap_or_default() {
            let PlacedRange { blocks, backend: from, .. } = placed;
            if from == *to {
                continue;
            }
            let is_emptying = self.named.is_emptied(&from);
            let mut reason = format!("the plan places {blocks} of {volume} on {to}");
            if is_emptying {
                reason.push_str(&format!(", and {from} is to be emptied"));
            }
            let (volume, to, key) = (volume.clone(), to.clone(), format!("place[{number}].on"));
            self.add(Demand { volume, blocks, from, to, key, reason, is_emptying });
        }
    }

    /// Moves a range from a backend that is to be emptied to the best targets.
    fn empty_range(&mut self, key: &str, volume: &Volume, placed: &PlacedRange) -> Result<(), PlanError> {
        let mut rest = placed.blocks;
        while !rest.is_empty() {
            let from = &placed.backend;
            let Some((to, blocks)) = self.find_best_target(volume, rest, from) else {
                let (volume, from) = (volume.clone(), from.clone());
                let problem = PlanProblem::NoBackendFits { blocks: rest, volume, from };
                return Err(PlanError::new(key, problem));
            };
            rest.first = blocks.end;
            let reason = format!("{from} is to be emptied, and {to} has the most room left");
            let (volume, from, key) = (volume.clone(), from.clone(), key.to_string());
            self.add(Demand { volume, blocks, from, to, key, reason, is_emptying: true });
        }
        Ok(())
    }

    /// Finds the backend that can hold the most blocks of a range. Ties go to the same zone, then to the most free
    /// capacity.
    fn find_best_target(
        &self,
        volume: &Volume,
        range: BlockRange,
        from: &BackendId,
    ) -> Option<(BackendId, BlockRange)> {
        let zone = self.view.zone(from);
        let may_leave_zone = self.plan.bounds.cross_zone != CrossZoneOrder::Never;
        let is_candidate = |id: &BackendId, known: &BackendView| {
            !self.named.is_emptied(id) && (may_leave_zone || zone == Some(&known.zone))
        };
        let candidates = self.view.backends.iter().filter(|(id, known)| is_candidate(id, known));
        let fitting = candidates
            .filter_map(|(id, known)| Some((id, known, self.find_fitting_part(volume, range, id, known)?)));
        let best = fitting.min_by_key(|(id, known, blocks)| {
            let free = known.capacity_blocks.saturating_sub(self.end.blocks(id));
            (Reverse(blocks.len()), zone != Some(&known.zone), Reverse(free), (*id).clone())
        });
        best.map(|(id, _, blocks)| (id.clone(), blocks))
    }

    /// Returns the first part of a range that fits on a backend, or None if nothing fits.
    fn find_fitting_part(
        &self,
        volume: &Volume,
        range: BlockRange,
        backend: &BackendId,
        known: &BackendView,
    ) -> Option<BlockRange> {
        let free = known.capacity_blocks.saturating_sub(self.end.blocks(backend));
        let blocks = BlockRange { first: range.first, end: range.end.min(range.first + free) };
        let mut after = self.end.clone();
        after.add(volume, blocks, backend);
        (!blocks.is_empty() && after.check(self.view, backend).is_ok()).then_some(blocks)
    }
}
