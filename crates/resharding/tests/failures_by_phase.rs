//! Injects each kind of failure in each phase of one migration.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use cluster_types::{BackendId, BlockRange, MemberId};
use common::one_migration::*;
use common::*;
use rand::Rng;
use resharding::*;
use rstest::rstest;

const PHASES: [&str; 6] = ["prepare", "copy", "catch up", "hand over", "switch", "release"];
/// The number of phases in which a migration can be rolled back.
const REVERSIBLE_PHASES: usize = 4;
#[derive(Clone, Copy, Debug)]
enum Failure {
    KilledWithState,
    KilledWithoutState,
    Stalled,
    CutOff,
    TargetFails,
    PlanReplaced,
    Cancelled,
}

#[rstest]
fn migration_survives_failure_in_each_phase(
    #[values(0, 1, 2, 3, 4, 5)] phase: usize,
    #[values(
        Failure::KilledWithState,
        Failure::KilledWithoutState,
        Failure::Stalled,
        Failure::CutOff,
        Failure::TargetFails,
        Failure::PlanReplaced,
        Failure::Cancelled
    )]
    failure: Failure,
) {
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    for seed in 0..seeds {
        let context = format!("{failure:?} in {}, seed {seed}", PHASES[phase]);
        let mut sim = start_migration(seed, "b");
        run_until_phase(&mut sim, PHASES[phase]);
        let end = inject_failure(&mut sim, failure, phase < REVERSIBLE_PHASES, &context);
        assert!(runs_to_end(&mut sim, 4000), "{context}: {:?}\n{:?}", newest_state(&sim).status(), sim.stats);
        assert_consistent(&mut sim, end, &context);
    }
}

/// Injects a failure. Returns the backend that is expected to hold the range in the end.
fn inject_failure(
    sim: &mut Simulation,
    failure: Failure,
    is_reversible: bool,
    context: &str,
) -> &'static str {
    let number = migrator_or_leader(sim);
    let ticks = sim.rng.random_range(20..220);
    match failure {
        Failure::KilledWithState | Failure::KilledWithoutState => {
            sim.kill(number);
            (0..ticks).for_each(|_| sim.tick());
            sim.restart(number, matches!(failure, Failure::KilledWithState));
        }
        Failure::Stalled => sim.stall(number, 800_000),
        Failure::CutOff => {
            sim.members[number].is_cut_off = true;
            (0..ticks).for_each(|_| sim.tick());
            sim.members[number].is_cut_off = false;
        }
        Failure::TargetFails => {
            sim.failed_backends.insert(BackendId::from("b"));
            (0..ticks).for_each(|_| sim.tick());
            if is_reversible {
                let phase = current_migration(sim).map(|(_, migration)| &migration.phase);
                let is_rolled_back = phase.is_none_or(|phase| matches!(phase, Phase::RolledBack { .. }));
                assert!(is_rolled_back, "{context}");
            }
            sim.failed_backends.clear();
        }
        Failure::PlanReplaced => {
            replace_plan(sim, "second", "c");
            return if is_reversible { "c" } else { "b" };
        }
        Failure::Cancelled => {
            let migration = current_migration(sim).unwrap().0;
            sim.append(MemberId::from("f0"), Command::Cancel { migration });
            return if is_reversible { "a" } else { "b" };
        }
    }
    "b"
}

/// A member that has not acknowledged a migration blocks it until it is declared dead.
#[test]
fn unacknowledged_member_blocks_until_it_is_declared_dead() {
    let mut sim = start_migration(5, "b");
    sim.kill(3);
    assert!(!runs_to_end(&mut sim, 600));
    let (_, migration) = current_migration(&sim).unwrap();
    assert_eq!(migration.phase, Phase::Prepare);
    assert!(newest_state(&sim).status()[0].waiting_for[0].contains("f3 has not acknowledged"));
    let leader = sim.leader.unwrap();
    let now = sim.local_time(leader);
    let running = sim.leader_state.declare_dead(now, &sim.members[leader].name.clone());
    assert!(running.is_err(), "a member that runs was declared dead");
    let command = sim.leader_state.declare_dead(now, &MemberId::from("f3")).unwrap();
    sim.append(MemberId::from("f0"), command);
    assert!(runs_to_end(&mut sim, 3000), "{:?}", newest_state(&sim).status());
    sim.restart(3, true);
    (0..300).for_each(|_| sim.tick());
    assert_consistent(&mut sim, "b", "declared dead");
}

/// A copy that a migrator sends after it was deposed may overwrite blocks that its successor has copied. They must be
/// copied again.
#[test]
fn recopies_after_late_copy_of_deposed_migrator() {
    for seed in 0..6 {
        let mut sim = start_migration(seed, "b");
        run_until_phase(&mut sim, "copy");
        sim.delays_next_copy = true;
        while sim.delays_next_copy {
            sim.tick();
        }
        // Clients overwrite the blocks of the delayed copy and another member copies them; after that there are no more
        // writes.
        (0..60).for_each(|_| sim.tick());
        sim.load = 0.0;
        let has_ended = runs_to_end(&mut sim, 4000);
        assert!(has_ended, "seed {seed}: {:?}", newest_state(&sim).status());
        assert_consistent(&mut sim, "b", &format!("seed {seed}"));
    }
}

/// A member that is cut off continues to serve ranges that are not migrating.
#[test]
fn serves_other_ranges_without_lease() {
    let mut sim = start_migration(6, "b");
    run_until_phase(&mut sim, "copy");
    (0..40).for_each(|_| sim.tick());
    sim.members[2].is_cut_off = true;
    (0..200).for_each(|_| sim.tick());
    let now = sim.local_time(2);
    let mut write = |first, end| sim.members[2].agent.permit(now, &volume(), BlockRange { first, end }, true);
    assert!(matches!(write(0, 4), Permission::Granted { .. }));
    assert!(matches!(write(20, 22), Permission::Granted { .. }));
    assert_eq!(write(5, 6), Permission::Denied(DenialReason::LeaseExpired));
    assert_eq!(write(19, 21), Permission::Denied(DenialReason::LeaseExpired), "a part of it migrates");
}

/// Until it has caught up, a restarted member has a placement that may be outdated: it may read by it, but not write.
#[test]
fn denies_writes_of_restarted_member_until_caught_up() {
    let mut sim = start_migration(7, "b");
    (0..100).for_each(|_| sim.tick());
    sim.kill(1);
    sim.restart(1, true);
    let now = sim.local_time(1);
    let agent = &mut sim.members[1].agent;
    let blocks = BlockRange { first: 30, end: 31 };
    let write = agent.permit(now, &volume(), blocks, true);
    assert_eq!(write, Permission::Denied(DenialReason::NotCaughtUp));
    let read = agent.permit(now, &volume(), blocks, false);
    assert!(matches!(read, Permission::Granted { is_caught_up: false, .. }), "{read:?}");
}

/// A member stalls immediately before it sends a write, until after the hand-over. The write must not be reported as
/// completed, and the source range must not be released before that member confirms the switch.
#[test]
fn write_stalled_over_hand_over_may_have_run() {
    let mut sim = start_migration(8, "b");
    run_until_phase(&mut sim, "copy");
    while current_migration(&sim).unwrap().1.migrator.is_none() {
        sim.tick();
    }
    let leader = sim.leader.unwrap();
    let number = (0..5).find(|i| *i != leader && *i != migrator_or_leader(&sim)).unwrap();
    while !current_migration(&sim).unwrap().1.members[&sim.members[number].name].is_leased() {
        sim.tick();
    }
    let now = sim.local_time(number);
    let blocks = BlockRange { first: 5, end: 6 };
    let permission = sim.members[number].agent.permit(now, &volume(), blocks, true);
    let Permission::Granted { ticket, .. } = permission else { panic!("{permission:?}") };
    sim.stall(number, 4_000_000);
    run_until_phase(&mut sim, "release");
    (0..100).for_each(|_| sim.tick());
    assert_eq!(current_migration(&sim).unwrap().1.phase.name(), "release");
    assert!(newest_state(&sim).status()[0].waiting_for[0].contains("must be heard"));
    let now = sim.local_time(number);
    let reply = sim.members[number].agent.finish(ticket, now, CommandResult::Completed);
    assert_eq!(reply, Reply::MayHaveRun);
    assert!(runs_to_end(&mut sim, 3000));
}
