//! One migration, and one failure in each of its phases.
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
        let mut sim = begin(seed, "b");
        run_until(&mut sim, PHASES[phase]);
        let end = inject(&mut sim, failure, phase < REVERSIBLE_PHASES, &context);
        assert!(has_ended(&mut sim, 4000), "{context}: {:?}\n{:?}", newest(&sim).status(), sim.stats);
        check(&mut sim, end, &context);
    }
}

/// Returns the backend that has the range in the end.
fn inject(sim: &mut Simulation, failure: Failure, is_reversible: bool, context: &str) -> &'static str {
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
                let phase = current(sim).map(|(_, migration)| &migration.phase);
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
            let migration = current(sim).unwrap().0;
            sim.append(MemberId::from("f0"), Command::Cancel { migration });
            return if is_reversible { "a" } else { "b" };
        }
    }
    "b"
}

/// A migration does not go on without a member that has not heard of it, until that member is declared dead.
#[test]
fn unacknowledged_member_blocks_until_it_is_declared_dead() {
    let mut sim = begin(5, "b");
    sim.kill(3);
    assert!(!has_ended(&mut sim, 600));
    let (_, migration) = current(&sim).unwrap();
    assert_eq!(migration.phase, Phase::Prepare);
    assert!(newest(&sim).status()[0].waiting_for[0].contains("f3 has not acknowledged"));
    let leader = sim.leader.unwrap();
    let now = sim.local_time(leader);
    let running = sim.leader_side.declare_dead(now, &sim.members[leader].name.clone());
    assert!(running.is_err(), "a member that runs was declared dead");
    let command = sim.leader_side.declare_dead(now, &MemberId::from("f3")).unwrap();
    sim.append(MemberId::from("f0"), command);
    assert!(has_ended(&mut sim, 3000), "{:?}", newest(&sim).status());
    sim.restart(3, true);
    (0..300).for_each(|_| sim.tick());
    check(&mut sim, "b", "declared dead");
}

/// A copy that a migrator sends after it was deposed may overwrite what another has copied since: that is copied again.
#[test]
fn overwrites_late_copy_of_deposed_migrator() {
    for seed in 0..6 {
        let mut sim = begin(seed, "b");
        run_until(&mut sim, "copy");
        sim.delays_next_copy = true;
        while sim.delays_next_copy {
            sim.tick();
        }
        // What the delayed copy has is written by clients and copied by another member, and then not any more.
        (0..60).for_each(|_| sim.tick());
        sim.load = 0.0;
        let has_ended = has_ended(&mut sim, 4000);
        assert!(has_ended, "seed {seed}: {:?}", newest(&sim).status());
        check(&mut sim, "b", &format!("seed {seed}"));
    }
}

/// A member that is cut off goes on to serve what does not migrate.
#[test]
fn serves_other_ranges_without_lease() {
    let mut sim = begin(6, "b");
    run_until(&mut sim, "copy");
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

/// A restarted member does not write by what it knew before.
#[test]
fn restarted_member_reads_but_does_not_write() {
    let mut sim = begin(7, "b");
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

/// A write whose member stalled right before it sent, over the whole hand-over, is not answered as done. The old place is
/// not given away before that member reports.
#[test]
fn write_that_stalled_over_hand_over_may_have_run() {
    let mut sim = begin(8, "b");
    run_until(&mut sim, "copy");
    while current(&sim).unwrap().1.migrator.is_none() {
        sim.tick();
    }
    let leader = sim.leader.unwrap();
    let number = (0..5).find(|i| *i != leader && *i != migrator_or_leader(&sim)).unwrap();
    while !current(&sim).unwrap().1.members[&sim.members[number].name].is_leased() {
        sim.tick();
    }
    let now = sim.local_time(number);
    let blocks = BlockRange { first: 5, end: 6 };
    let permission = sim.members[number].agent.permit(now, &volume(), blocks, true);
    let Permission::Granted { ticket, .. } = permission else { panic!("{permission:?}") };
    sim.stall(number, 4_000_000);
    run_until(&mut sim, "release");
    (0..100).for_each(|_| sim.tick());
    assert_eq!(current(&sim).unwrap().1.phase.name(), "release");
    assert!(newest(&sim).status()[0].waiting_for[0].contains("must be heard"));
    let now = sim.local_time(number);
    let reply = sim.members[number].agent.finish(ticket, now, CommandResult::Completed);
    assert_eq!(reply, Reply::MayHaveRun);
    assert!(has_ended(&mut sim, 3000));
}
