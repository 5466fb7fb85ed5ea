//! Orders the steps of a plan before any block moves. The order is deterministic: it is the same on every member, and
//! does not depend on the order of the places in the file.
use super::cluster_view::{CapacityError, ClusterView, Occupancy};
use super::demand::{find_demands, Demand};
use super::error::{PlanError, PlanProblem};
use super::names::{resolve_backends, NamedBackends};
use super::{CrossZoneOrder, Plan, Step};
use cluster_types::{BackendId, BlockRange, Volume};

/// A demand that no step satisfies yet.
struct OpenDemand {
    demand: Demand,
    /// The step that moved the range to an intermediate backend.
    brought_by: Option<u32>,
}

struct StepOrder<'a> {
    view: &'a ClusterView,
    /// The blocks on each backend once all steps so far are done.
    occupancy: Occupancy,
    /// The maximum of blocks on each backend in the meantime: with all arrivals and no departures.
    peak: Occupancy,
    steps: Vec<Step>,
}

impl StepOrder<'_> {
    fn fits(&self, occupancy: &Occupancy, volume: &Volume, blocks: BlockRange, backend: &BackendId) -> bool {
        let mut after = occupancy.clone();
        after.add(volume, blocks, backend);
        after.check(self.view, backend).is_ok()
    }

    fn fits_now(&self, demand: &Demand) -> bool {
        self.fits(&self.occupancy, &demand.volume, demand.blocks, &demand.to)
    }

    /// Adds a step. It waits only for as many departures from its target as it needs, the earliest first.
    fn add_step(&mut self, demand: &Demand, to: &BackendId, brought_by: Option<u32>, reason: String) -> u32 {
        let Demand { volume, blocks, from, .. } = demand.clone();
        let id = self.steps.len() as u32 + 1;
        let mut reason = reason;
        let mut after: Vec<u32> = brought_by.into_iter().collect();
        let mut occupancy = self.peak.clone();
        for step in self.steps.iter().filter(|step| step.from == *to) {
            if self.fits(&occupancy, &volume, blocks, to) {
                break;
            }
            occupancy.remove(&step.volume, step.blocks, to);
            after.push(step.id);
            reason.push_str(&format!("; waits for step {}, which makes room on {to}", step.id));
        }
        after.sort_unstable();
        after.dedup();
        self.occupancy.remove(&volume, blocks, &from);
        self.occupancy.add(&volume, blocks, to);
        self.peak.add(&volume, blocks, to);
        self.steps.push(Step { id, volume, blocks, from, to: to.clone(), after, reason });
        id
    }

    /// Finds a backend with enough capacity to hold a range temporarily, preferably in the same zone.
    fn find_intermediate(
        &self,
        demand: &Demand,
        cross_zone: CrossZoneOrder,
        named: &NamedBackends,
    ) -> Option<BackendId> {
        let Demand { volume, blocks, from, to, .. } = demand;
        let is_other = |id: &&BackendId| *id != from && *id != to && !named.is_emptied(id);
        let others = self.view.backends.keys().filter(is_other);
        let fitting = others.filter(|id| self.fits(&self.occupancy, volume, *blocks, id));
        let ranked = fitting.map(|id| (self.view.zone(id) != self.view.zone(from), id));
        let allowed = ranked.filter(|(leaves_zone, _)| !leaves_zone || cross_zone != CrossZoneOrder::Never);
        allowed.min().map(|(_, id)| id.clone())
    }
}

/// Returns the ordered steps that turn the present placement into the wanted one.
///
/// # Errors
///
/// Fails if the plan names something that the cluster does not have, or if migrations would wait for each other's
/// capacity and no other backend can hold one of the ranges temporarily.
pub fn order_steps(plan: &Plan, view: &ClusterView) -> Result<Vec<Step>, PlanError> {
    let named = resolve_backends(plan, view)?;
    let cross_zone = plan.bounds.cross_zone;
    let demands = find_demands(plan, &named, view)?.into_iter();
    let mut open: Vec<OpenDemand> = demands.map(|demand| OpenDemand { demand, brought_by: None }).collect();
    open.sort_by_cached_key(|open| open.demand.rank(cross_zone, view));
    let (occupancy, peak) = (view.occupancy(), view.occupancy());
    let mut order = StepOrder { view, occupancy, peak, steps: Vec::new() };
    while !open.is_empty() {
        if let Some(position) = open.iter().position(|open| order.fits_now(&open.demand)) {
            let OpenDemand { demand, brought_by } = open.remove(position);
            order.add_step(&demand, &demand.to, brought_by, demand.reason.clone());
            continue;
        }
        break_cycle(&mut order, &mut open, cross_zone, &named)?;
    }
    Ok(order.steps)
}

/// Resolves a cycle of demands that wait for each other's capacity: moves one of them to an intermediate backend
/// first.
fn break_cycle(
    order: &mut StepOrder,
    open: &mut [OpenDemand],
    cross_zone: CrossZoneOrder,
    named: &NamedBackends,
) -> Result<(), PlanError> {
    let detour = open.iter().enumerate().find_map(|(position, waiting)| {
        let demand = &waiting.demand;
        let frees_capacity = open.iter().any(|other| other.demand.to == demand.from);
        if waiting.brought_by.is_some() || !frees_capacity {
            return None;
        }
        order.find_intermediate(demand, cross_zone, named).map(|backend| (position, backend))
    });
    let Some((position, backend)) = detour else {
        let Some(OpenDemand { demand, .. }) = open.first() else { return Ok(()) };
        let Demand { volume, blocks, from, to, key, .. } = demand.clone();
        return Err(PlanError::new(key, PlanProblem::CircularWait { blocks, volume, from, to }));
    };
    let demand = open[position].demand.clone();
    let reason =
        format!("{}; by way of {backend}, since the boxes wait for each other's room", demand.reason);
    let step = order.add_step(&demand, &backend, None, reason);
    open[position].demand.from = backend;
    open[position].brought_by = Some(step);
    Ok(())
}

/// Checks that no backend exceeds its capacity while some steps are done and some are running. Backends that exceed it
/// already are not checked.
///
/// # Errors
///
/// Returns the first capacity that would be exceeded.
pub fn check_occupancy(
    view: &ClusterView,
    steps: &[Step],
    done: &[u32],
    running: &[u32],
) -> Result<(), CapacityError> {
    let before = view.occupancy();
    let mut occupancy = before.clone();
    for step in steps {
        if done.contains(&step.id) || running.contains(&step.id) {
            occupancy.add(&step.volume, step.blocks, &step.to);
        }
        if done.contains(&step.id) {
            occupancy.remove(&step.volume, step.blocks, &step.from);
        }
    }
    for backend in view.backends.keys() {
        if before.check(view, backend).is_ok() {
            occupancy.check(view, backend)?;
        }
    }
    Ok(())
}
