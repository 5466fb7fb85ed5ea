//! Simulates one migration of part of a volume from backend `a`.
use super::*;

pub const MOVED_BLOCKS: BlockRange = BlockRange { first: 4, end: 20 };

pub fn start_migration(seed: u64, to: &str) -> Simulation {
    let mut sim = Simulation::new(seed, 5, 32, "a");
    (0..150).for_each(|_| sim.tick());
    sim.stats.clear();
    replace_plan(&mut sim, "first", to);
    sim
}

pub fn replace_plan(sim: &mut Simulation, plan: &str, to: &str) {
    let step = Step {
        id: 1,
        volume: volume(),
        blocks: MOVED_BLOCKS,
        from: BackendId::from("a"),
        to: BackendId::from(to),
        after: vec![],
        reason: "test".into(),
    };
    let bounds = Bounds { copy_share_permille: 500, ..Bounds::default() };
    sim.append(MemberId::from("f0"), Command::ReplacePlan { plan: plan.into(), steps: vec![step], bounds });
}

/// The state of the member that has applied the most entries.
pub fn newest_state(sim: &Simulation) -> &ReshardingState {
    sim.members.iter().map(|member| &member.state).max_by_key(|state| state.applied).unwrap()
}

pub fn current_migration(sim: &Simulation) -> Option<(Index, &Migration)> {
    newest_state(sim).migrations.iter().next().map(|(id, migration)| (*id, migration))
}

pub fn run_until_phase(sim: &mut Simulation, phase: &str) {
    for _ in 0..4000 {
        if current_migration(sim).is_some_and(|(_, migration)| migration.phase.name() == phase) {
            return;
        }
        sim.tick();
    }
    panic!("never came to {phase}: {:?}", newest_state(sim).status());
}

/// Ticks until the plan is done on all running members. Returns false if it is not done after so many ticks.
pub fn runs_to_end(sim: &mut Simulation, ticks: usize) -> bool {
    for _ in 0..ticks {
        sim.tick();
        let end = sim.log.len();
        let is_idle = |state: &ReshardingState| {
            state.applied.0 as usize == end && state.migrations.is_empty() && state.queue.is_empty()
        };
        let mut running = sim.members.iter().filter(|member| member.is_running && !member.is_cut_off);
        if running.all(|member| is_idle(&member.state)) {
            return true;
        }
    }
    false
}

/// Checks that no answered write is lost and that the range is on the given backend.
pub fn assert_consistent(sim: &mut Simulation, backend: &str, context: &str) {
    sim.load = 0.0;
    (0..100).for_each(|_| sim.tick());
    let placement = newest_state(sim).placement.clone();
    sim.check_blocks(&placement);
    assert!(sim.violations.is_empty(), "{context}: {:?}", sim.violations);
    let placed = placement.lookup(&volume(), MOVED_BLOCKS).unwrap();
    assert!(placed.iter().all(|range| range.backend == BackendId::from(backend)), "{context}: {placed:?}");
}

/// The number of the migrator if there is one, else of the leader.
pub fn migrator_or_leader(sim: &Simulation) -> usize {
    let migrator = current_migration(sim).and_then(|(_, migration)| migration.migrator.clone());
    let number = migrator.and_then(|(name, _)| sim.members.iter().position(|member| member.name == name));
    number.or(sim.leader).unwrap_or(0)
}
