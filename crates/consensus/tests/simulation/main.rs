//! Simulation of whole groups under seeded fault schedules, in simulated time. `CONSENSUS_SCHEDULES` sets how many schedules are
//! run per group size, `CONSENSUS_SEED` runs a single seed.
#![allow(clippy::unwrap_used, clippy::panic)]
mod actions;
mod check;
mod host;
mod report;
mod schedule;
mod world;

use report::Report;
use schedule::{Fault, FaultKind, Limits, Schedule};
use world::World;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Shrinks a failing schedule: removes each fault without which it still fails.
fn shrink(mut schedule: Schedule, mut error: String) -> (Schedule, String) {
    let mut position = 0;
    while position < schedule.faults.len() {
        let mut fewer = schedule.clone();
        fewer.faults.remove(position);
        match World::run(&fewer) {
            Err(remaining_error) => (schedule, error) = (fewer, remaining_error),
            Ok(_) => position += 1,
        }
    }
    (schedule, error)
}

fn run(schedule: Schedule) -> Report {
    match World::run(&schedule) {
        Ok(report) => report,
        Err(error) => {
            let (shrunk, remaining_error) = shrink(schedule.clone(), error.clone());
            let faults: Vec<String> = shrunk.faults.iter().map(|f| format!("  {f:?}")).collect();
            panic!(
                "{} members, seed {}: {error}\nwith {} faults left after shrinking: {remaining_error}\n{}",
                schedule.members,
                schedule.seed,
                faults.len(),
                faults.join("\n")
            );
        }
    }
}

fn run_seeds(members: usize, default_count: u64, limits: Limits) {
    let (first_seed, count) = match env_number("CONSENSUS_SEED") {
        Some(seed) => (seed, 1),
        None => (0, env_number("CONSENSUS_SCHEDULES").unwrap_or(default_count)),
    };
    let mut total = Report::default();
    for seed in first_seed..first_seed + count {
        total.add(&run(Schedule::random(members, seed, limits)));
    }
    println!("{members} members: {total:?}");
    // Schedules in which almost nothing is committed would show nothing.
    assert!(count == 1 || total.commits > count * 5);
}

#[test]
fn three_members_are_safe_under_random_faults() {
    run_seeds(3, 30, Limits::standard());
}

#[test]
fn five_members_are_safe_under_random_faults() {
    run_seeds(5, 12, Limits::standard());
}

#[test]
fn four_members_and_one_member_are_safe_under_random_faults() {
    run_seeds(4, 6, Limits::standard());
    run_seeds(1, 5, Limits::standard());
}

#[test]
fn seven_members_are_safe_under_random_faults() {
    run_seeds(7, 6, Limits::standard());
}

/// Leaders that reach only some members, and followers that forget their leader through a restart.
#[test]
fn leases_are_safe_under_partitions_and_restarts() {
    run_seeds(3, 80, Limits { fault_kinds: schedule::PARTITIONS, faults: 60, ..Limits::standard() });
}

#[test]
fn large_groups_are_safe_under_random_faults() {
    run_seeds(25, 2, Limits { span_ms: 3_000, ..Limits::standard() });
    run_seeds(100, 1, Limits { span_ms: 2_000, ..Limits::standard() });
}

/// Faults that occur while the group bootstraps.
#[test]
fn bootstrap_is_safe_under_random_faults() {
    run_seeds(3, 40, Limits { span_ms: 1_500, ..Limits::standard() });
    run_seeds(5, 15, Limits { span_ms: 1_500, ..Limits::standard() });
}

/// Safety holds even if a majority of the disks, but not all, are lost.
#[test]
fn losing_a_majority_of_disks_is_safe() {
    run_seeds(3, 20, Limits { max_lost_disks: Some(2), ..Limits::standard() });
    run_seeds(5, 8, Limits { max_lost_disks: Some(4), ..Limits::standard() });
}

/// A group that loses a majority of its disks at once never elects a leader again.
#[test]
fn losing_a_majority_of_disks_leaves_no_leader() {
    for seed in 0..10 {
        let kill_and_lose_disk = |host, at_ms| Fault {
            at_ms,
            kind: FaultKind::Kill { host, down_ms: 50, loses_disk: true, written: 0 },
        };
        let faults = vec![kill_and_lose_disk(1, 6_000), kill_and_lose_disk(2, 6_000)];
        let schedule = Schedule {
            members: 3,
            seed,
            faults,
            limits: Limits { max_lost_disks: Some(2), ..Limits::standard() },
        };
        let report = run(schedule);
        assert!(report.stuck == 1, "seed {seed}: {report:?}");
    }
}
