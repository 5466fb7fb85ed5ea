//! Checks a plan against the cluster before any block moves.
use super::cluster_view::{ClusterView, Occupancy};
use super::demand::{find_demands, Demand};
use super::error::{PlanError, PlanProblem};
use super::names::resolve_backends;
use super::step_order::order_steps;
use super::{CrossZoneOrder, Plan};
use cluster_types::{BlockRange, Volume};
use std::collections::BTreeSet;

impl Plan {
    /// Checks that the cluster can carry out the plan.
    ///
    /// # Errors
    ///
    /// Returns the first key that can't be satisfied.
    pub fn check(&self, view: &ClusterView) -> Result<(), PlanError> {
        let named = resolve_backends(self, view)?;
        let volumes: BTreeSet<&Volume> = self.targets.iter().map(|target| &target.volume).collect();
        for volume in volumes {
            check_coverage(self, view, volume)?;
        }
        let demands = find_demands(self, &named, view)?;
        let now = view.occupancy();
        let mut end = now.clone();
        for demand in &demands {
            end.remove(&demand.volume, demand.blocks, &demand.from);
            end.add(&demand.volume, demand.blocks, &demand.to);
        }
        for demand in &demands {
            self.check_demand(view, demand, &now, &end)?;
        }
        order_steps(self, view).map(|_| ())
    }

    /// Checks that a demand can be satisfied, given the occupancy of backends now and in the end.
    fn check_demand(
        &self,
        view: &ClusterView,
        demand: &Demand,
        now: &Occupancy,
        end: &Occupancy,
    ) -> Result<(), PlanError> {
        let Demand { volume, blocks, from, to, key, .. } = demand;
        end.check(view, to).map_err(|error| PlanError::new(key, error.into()))?;
        let leaves_zone = view.zone(from) != view.zone(to);
        if self.bounds.cross_zone == CrossZoneOrder::Never && leaves_zone {
            let problem = PlanProblem::LeavesZone {
                blocks: *blocks,
                volume: volume.clone(),
                from: from.clone(),
                to: to.clone(),
                key: key.clone(),
            };
            return Err(PlanError::new("bounds.across_halls", problem));
        }
        for backend in [from, to] {
            let share_permille = u64::from(self.bounds.copy_share_permille);
            if now.spare_rate(view, backend).saturating_mul(share_permille) / 1000 == 0 {
                let (backend, volume) = (backend.clone(), volume.clone());
                let problem = PlanProblem::NoCopyRate { backend, blocks: *blocks, volume };
                return Err(PlanError::new("bounds.share_of_spare", problem));
            }
        }
        Ok(())
    }
}

/// Checks that the targets of a volume cover it without gaps or overlaps.
fn check_coverage(plan: &Plan, view: &ClusterView, volume: &Volume) -> Result<(), PlanError> {
    let numbered = plan.targets.iter().enumerate().filter(|(_, target)| target.volume == *volume);
    let mut targets: Vec<(BlockRange, usize)> =
        numbered.map(|(number, target)| (target.blocks, number)).collect();
    targets.sort();
    let error =
        |number: usize, part: &str, problem| Err(PlanError::new(format!("place[{number}].{part}"), problem));
    let volume = volume.clone();
    let Some(known) = view.volumes.get(&volume).filter(|_| view.placement.contains(&volume)) else {
        let number = targets.first().map_or(0, |(_, number)| *number);
        return error(number, "volume", PlanProblem::UnknownVolume(volume));
    };
    let mut end = 0;
    let mut last = None::<usize>;
    for (blocks, number) in targets {
        if blocks.first < end {
            let other = last.unwrap_or(0);
            let problem = PlanProblem::OverlappingTarget { blocks, volume, other };
            return error(number.max(other), "blocks", problem);
        }
        if blocks.first > end {
            let gap = BlockRange { first: end, end: blocks.first };
            return error(number, "blocks", PlanProblem::Gap { blocks: gap, volume });
        }
        end = blocks.end;
        last = Some(number);
    }
    let last = last.unwrap_or(0);
    if end > known.blocks {
        return error(last, "blocks", PlanProblem::BeyondVolume { volume, blocks: known.blocks });
    }
    if end < known.blocks {
        let gap = BlockRange { first: end, end: known.blocks };
        return error(last, "blocks", PlanProblem::Gap { blocks: gap, volume });
    }
    Ok(())
}
