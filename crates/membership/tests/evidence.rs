//! What members claim of boxes and halls, and what comes of it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use cluster_types::{BackendId, Zone};
use membership::{Event, Kind, Observation, Subject};
use sim::{seeds, Sim};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const BOXES: usize = 20;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn box_of(which: usize) -> BackendId {
    BackendId::from(format!("box-{which:02}").as_str())
}

/// Boxes in three halls; the last hall has two only.
fn boxes() -> BTreeMap<BackendId, Zone> {
    let hall = |which| if which >= BOXES - 2 { "hall-c" } else { ["hall-a", "hall-b"][which % 2] };
    (0..BOXES).map(|which| (box_of(which), Zone::from(hall(which)))).collect()
}

fn see(sim: &mut Sim, by: usize, of: usize, kind: Kind, weight: f32) {
    let subject = Subject::Box(box_of(of));
    sim.event(by, Event::Observed(Observation { subject, kind, weight, lasts: secs(30) }));
}

fn shunned(sim: &Sim, by: usize) -> Vec<String> {
    let clock = sim.nodes[by].clock(sim.now);
    let shunned = sim.machine(by).shunned(&boxes(), clock);
    assert!(shunned.iter().all(|shun| shun.trickle > 0.0 && shun.doubt > 0.0 && shun.doubt <= 1.0));
    shunned.iter().map(|shun| shun.which.to_string()).collect()
}

/// Whatever is claimed: at most the share, and never all of a hall.
fn check_bounds(sim: &Sim, by: usize) {
    let shunned: BTreeSet<String> = shunned(sim, by).into_iter().collect();
    assert!(shunned.len() <= BOXES / 5);
    let left: BTreeSet<Zone> =
        boxes().into_iter().filter(|(one, _)| !shunned.contains(&*one.0)).map(|(_, hall)| hall).collect();
    assert_eq!(left.len(), 3, "each hall has a box left");
}

fn started(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::started(count, seed);
    sim.loss = 0.02;
    sim.settle(secs(15));
    sim
}

#[test]
fn one_that_accuses_every_box_has_its_way_with_none() {
    seeds(4, |seed| {
        for count in [1, 2, 3, 5, 25] {
            let mut sim = started(count, seed);
            for _ in 0..4 {
                (0..BOXES).for_each(|of| see(&mut sim, 0, of, Kind::Silent, 1.0));
                sim.run(secs(5));
                assert!((0..count).all(|by| shunned(&sim, by).is_empty()));
            }
            let clock = sim.nodes[0].clock(sim.now);
            assert_eq!(sim.machine(0).verdict(&Subject::Box(box_of(0)), clock).sources, 1);
        }
    });
}

#[test]
fn what_most_claim_is_known_to_all_in_one_order_until_it_is_taken_back() {
    seeds(4, |seed| {
        let mut sim = started(5, seed);
        for by in 0..3 {
            see(&mut sim, by, 7, Kind::Failing, 0.6);
            see(&mut sim, by, 4, Kind::Slow, 1.0);
            see(&mut sim, by, 3, Kind::Slow, 1.0);
        }
        see(&mut sim, 4, 9, Kind::Silent, 1.0);
        see(&mut sim, 3, 9, Kind::Silent, 1.0);
        sim.run(secs(5));
        // By strength, then by name; what two of five claim does not count.
        (0..5).for_each(|by| assert_eq!(shunned(&sim, by), ["box-03", "box-04", "box-07"]));
        let clock = sim.nodes[4].clock(sim.now);
        let verdict = sim.machine(4).verdict(&Subject::Box(box_of(7)), clock);
        assert!((verdict.doubt - 0.36).abs() < 0.01 && verdict.sources == 3, "{verdict:?}");
        assert!(verdict.newest.unwrap() <= secs(6) && verdict.kinds == BTreeMap::from([(Kind::Failing, 3)]));
        see(&mut sim, 0, 4, Kind::Well, 1.0);
        sim.run(secs(5));
        (0..5).for_each(|by| assert_eq!(shunned(&sim, by), ["box-03", "box-07"]));
        // No claim outlives its time, however often it was passed on.
        sim.run(secs(21));
        (0..5).for_each(|by| assert_eq!(shunned(&sim, by), [""; 0]));
        assert!((0..5).all(|by| sim.machine(by).subjects(sim.nodes[by].clock(sim.now)).is_empty()));
    });
}

#[test]
fn though_all_accuse_all_only_the_share_is_shunned_and_of_no_hall_all() {
    seeds(4, |seed| {
        let mut sim = started(5, seed);
        for by in 0..5 {
            (0..BOXES).for_each(|of| see(&mut sim, by, of, Kind::Silent, if of >= 18 { 1.0 } else { 0.5 }));
        }
        for _ in 0..20 {
            sim.run(Duration::from_millis(500));
            (0..5).for_each(|by| check_bounds(&sim, by));
        }
        (0..5).for_each(|by| assert_eq!(shunned(&sim, by), ["box-18", "box-00", "box-01", "box-02"]));
    });
}

#[test]
fn the_smaller_side_of_a_split_shuns_nothing() {
    seeds(4, |seed| {
        let mut sim = started(5, seed);
        sim.split(&BTreeSet::from([0, 1]));
        for _ in 0..6 {
            // Each side misses the boxes of the other's halls.
            (0..2).for_each(|by| (0..10).for_each(|of| see(&mut sim, by, of, Kind::Silent, 1.0)));
            (2..5).for_each(|by| (10..BOXES).for_each(|of| see(&mut sim, by, of, Kind::Silent, 1.0)));
            sim.run(secs(4));
            (0..2).for_each(|by| assert_eq!(shunned(&sim, by), [""; 0]));
            (2..5).for_each(|by| check_bounds(&sim, by));
        }
        assert_eq!(shunned(&sim, 2).len(), 4);
        sim.heal();
        sim.settle(secs(40));
        (0..5).for_each(|by| check_bounds(&sim, by));
    });
}

#[test]
fn the_claims_of_one_that_died_count_no_more() {
    seeds(4, |seed| {
        let mut sim = started(5, seed);
        (2..5).for_each(|by| see(&mut sim, by, 3, Kind::Slow, 1.0));
        sim.run(secs(5));
        assert_eq!(shunned(&sim, 0), ["box-03"]);
        sim.kill(4);
        sim.run(secs(10));
        assert_eq!(shunned(&sim, 0), [""; 0], "two of five are no more than half");
    });
}
