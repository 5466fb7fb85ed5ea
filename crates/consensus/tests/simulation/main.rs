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

fn many(members: usize, usual: u64, limits: Limits) {
    let (from, count) = match number("CONSENSUS_SEED") {
        Some(seed) => (seed, 1),
        None => (0, number("CONSENSUS_SCHEDULES").unwrap_or(usual)),
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
fn three() {
    many(3, 30, Limits::usual());
}

#[test]
fn five() {
    many(5, 12, Limits::usual());
}

#[test]
fn four_and_one() {
    many(4, 6, Limits::usual());
    many(1, 5, Limits::usual());
}

#[test]
fn seven() {
    many(7, 6, Limits::usual());
}

/// Leaders that reach some, and followers that forget whom they heard.
#[test]
fn parted() {
    many(3, 80, Limits { kinds: schedule::PARTED, faults: 60, ..Limits::usual() });
}

#[test]
fn many_members() {
    many(25, 2, Limits { span_ms: 3_000, ..Limits::usual() });
    many(100, 1, Limits { span_ms: 2_000, ..Limits::usual() });
}

/// Faults while the group is being founded.
#[test]
fn founding() {
    many(3, 40, Limits { span_ms: 1_500, ..Limits::usual() });
    many(5, 15, Limits { span_ms: 1_500, ..Limits::usual() });
}

/// More disks are lost than a quorum can do without, but not all: nothing is promised that does not hold.
#[test]
fn majority_lost_is_safe() {
    many(3, 20, Limits { disks: Some(2), ..Limits::usual() });
    many(5, 8, Limits { disks: Some(4), ..Limits::usual() });
}

/// A majority of disks lost at once leaves the group without a leader, for good.
#[test]
fn majority_lost_is_stuck() {
    for seed in 0..10 {
        let lose =
            |host, at_ms| Fault { at_ms, kind: Kind::Kill { host, down_ms: 50, lose: true, written: 0 } };
        let faults = vec![lose(1, 6_000), lose(2, 6_000)];
        let schedule =
            Schedule { members: 3, seed, faults, limits: Limits { disks: Some(2), ..Limits::usual() } };
        let report = run(schedule);
        assert!(report.stuck == 1, "seed {seed}: {report:?}");
    }
}
