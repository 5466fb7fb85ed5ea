//! Seeded schedules of faults over whole groups in simulated time. `CONSENSUS_SCHEDULES` is how many are run for each size,
//! `CONSENSUS_SEED` runs one seed alone.
#![allow(clippy::unwrap_used, clippy::panic)]
mod actions;
mod check;
mod host;
mod report;
mod schedule;
mod world;

use report::Report;
use schedule::{Fault, Kind, Limits, Schedule};
use world::World;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Drops faults one by one while it still fails.
fn shrink(mut schedule: Schedule, mut why: String) -> (Schedule, String) {
    let mut place = 0;
    while place < schedule.faults.len() {
        let mut fewer = schedule.clone();
        fewer.faults.remove(place);
        match World::run(&fewer) {
            Err(still) => (schedule, why) = (fewer, still),
            Ok(_) => place += 1,
        }
    }
    (schedule, why)
}

fn run(schedule: Schedule) -> Report {
    match World::run(&schedule) {
        Ok(report) => report,
        Err(why) => {
            let (least, still) = shrink(schedule.clone(), why.clone());
            let faults: Vec<String> = least.faults.iter().map(|f| format!("  {f:?}")).collect();
            panic!(
                "{} members, seed {}: {why}\nwith {} faults still: {still}\n{}",
                schedule.members,
                schedule.seed,
                faults.len(),
                faults.join("\n")
            );
        }
    }
}

fn many(members: usize, default_count: u64, limits: Limits) {
    let (from, count) = match number("CONSENSUS_SEED") {
        Some(seed) => (seed, 1),
        None => (0, number("CONSENSUS_SCHEDULES").unwrap_or(default_count)),
    };
    let mut total = Report::default();
    for seed in from..from + count {
        total.add(&run(Schedule::draw(members, seed, limits)));
    }
    println!("{members} members: {total:?}");
    // Guards against schedules that prove nothing since nothing happened in them.
    assert!(count == 1 || total.commits > count * 5);
}

#[test]
fn three_members() {
    many(3, 30, Limits::standard());
}

#[test]
fn five_members() {
    many(5, 12, Limits::standard());
}

#[test]
fn four_members_and_one_member() {
    many(4, 6, Limits::standard());
    many(1, 5, Limits::standard());
}

#[test]
fn seven_members() {
    many(7, 6, Limits::standard());
}

/// Leaders that reach some members only, and followers that forget their leader by a restart.
#[test]
fn partitions_and_restarts() {
    many(3, 80, Limits { kinds: schedule::PARTITIONS, faults: 60, ..Limits::standard() });
}

#[test]
fn large_groups() {
    many(25, 2, Limits { span_ms: 3_000, ..Limits::standard() });
    many(100, 1, Limits { span_ms: 2_000, ..Limits::standard() });
}

/// Faults while the group is bootstrapped.
#[test]
fn faults_during_bootstrap() {
    many(3, 40, Limits { span_ms: 1_500, ..Limits::standard() });
    many(5, 15, Limits { span_ms: 1_500, ..Limits::standard() });
}

/// More disks are lost than a quorum can spare, but not all: no promise is broken.
#[test]
fn majority_of_lost_disks_is_safe() {
    many(3, 20, Limits { disks: Some(2), ..Limits::standard() });
    many(5, 8, Limits { disks: Some(4), ..Limits::standard() });
}

/// A majority of disks lost at once leaves the group without a leader, for good.
#[test]
fn majority_of_lost_disks_leaves_no_leader() {
    for seed in 0..10 {
        let lose =
            |host, at_ms| Fault { at_ms, kind: Kind::Kill { host, down_ms: 50, lose: true, written: 0 } };
        let faults = vec![lose(1, 6_000), lose(2, 6_000)];
        let schedule =
            Schedule { members: 3, seed, faults, limits: Limits { disks: Some(2), ..Limits::standard() } };
        let report = run(schedule);
        assert!(report.stuck == 1, "seed {seed}: {report:?}");
    }
}
