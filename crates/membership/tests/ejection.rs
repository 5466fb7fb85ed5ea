//! Tests which backends are ejected because of the members' claims.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use cluster_types::{BackendId, Zone};
use membership::{ClaimKind, Event, Observation, Subject};
use sim::{run_with_seeds, Sim};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const BACKENDS: usize = 20;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn backend(index: usize) -> BackendId {
    BackendId::from(format!("box-{index:02}").as_str())
}

/// Backends in three zones; the last zone has two only.
fn backends() -> BTreeMap<BackendId, Zone> {
    let zone = |index| if index >= BACKENDS - 2 { "hall-c" } else { ["hall-a", "hall-b"][index % 2] };
    (0..BACKENDS).map(|index| (backend(index), Zone::from(zone(index)))).collect()
}

fn observe(sim: &mut Sim, by: usize, of: usize, kind: ClaimKind, confidence: f32) {
    let subject = Subject::Backend(backend(of));
    let observation = Observation { subject, kind, confidence, valid_for: secs(30) };
    sim.event(by, Event::Observed(observation));
}

fn ejected(sim: &Sim, by: usize) -> Vec<String> {
    let clock = sim.nodes[by].clock(sim.now);
    let ejections = sim.membership(by).ejections(&backends(), clock);
    for ejection in &ejections {
        assert!(ejection.traffic_share > 0.0 && ejection.score > 0.0 && ejection.score <= 1.0);
    }
    ejections.iter().map(|ejection| ejection.backend.to_string()).collect()
}

/// Asserts that at most the configured share is ejected, and never all backends of a zone.
fn assert_bounds(sim: &Sim, by: usize) {
    let ejected: BTreeSet<String> = ejected(sim, by).into_iter().collect();
    assert!(ejected.len() <= BACKENDS / 5);
    let remaining = backends().into_iter().filter(|(backend, _)| !ejected.contains(&*backend.0));
    let zones: BTreeSet<Zone> = remaining.map(|(_, zone)| zone).collect();
    assert_eq!(zones.len(), 3, "each zone must keep a backend");
}

fn started(count: usize, seed: u64) -> Sim {
    let mut sim = Sim::started(count, seed);
    sim.loss = 0.02;
    sim.converge(secs(15));
    sim
}

#[test]
fn claims_of_single_member_eject_no_backend() {
    run_with_seeds(4, |seed| {
        for count in [1, 2, 3, 5, 25] {
            let mut sim = started(count, seed);
            for _ in 0..4 {
                (0..BACKENDS).for_each(|of| observe(&mut sim, 0, of, ClaimKind::Unresponsive, 1.0));
                sim.run(secs(5));
                assert!((0..count).all(|by| ejected(&sim, by).is_empty()));
            }
            let clock = sim.nodes[0].clock(sim.now);
            assert_eq!(sim.membership(0).verdict(&Subject::Backend(backend(0)), clock).sources, 1);
        }
    });
}

#[test]
fn quorum_ejects_in_same_order_at_all_members_until_claims_end() {
    run_with_seeds(4, |seed| {
        let mut sim = started(5, seed);
        for by in 0..3 {
            observe(&mut sim, by, 7, ClaimKind::Failing, 0.6);
            observe(&mut sim, by, 4, ClaimKind::Slow, 1.0);
            observe(&mut sim, by, 3, ClaimKind::Slow, 1.0);
        }
        observe(&mut sim, 4, 9, ClaimKind::Unresponsive, 1.0);
        observe(&mut sim, 3, 9, ClaimKind::Unresponsive, 1.0);
        sim.run(secs(5));
        // Ordered by score, then by name. Claims of two of five members are no quorum.
        (0..5).for_each(|by| assert_eq!(ejected(&sim, by), ["box-03", "box-04", "box-07"]));
        let clock = sim.nodes[4].clock(sim.now);
        let verdict = sim.membership(4).verdict(&Subject::Backend(backend(7)), clock);
        assert!((verdict.score - 0.36).abs() < 0.01 && verdict.sources == 3, "{verdict:?}");
        assert!(verdict.newest_age.unwrap() <= secs(6));
        assert!(verdict.kinds == BTreeMap::from([(ClaimKind::Failing, 3)]));
        observe(&mut sim, 0, 4, ClaimKind::Healthy, 1.0);
        sim.run(secs(5));
        (0..5).for_each(|by| assert_eq!(ejected(&sim, by), ["box-03", "box-07"]));
        // No claim outlives its validity, no matter how often it was forwarded.
        sim.run(secs(21));
        (0..5).for_each(|by| assert_eq!(ejected(&sim, by), [""; 0]));
        let clock = |by: usize| sim.nodes[by].clock(sim.now);
        assert!((0..5).all(|by| sim.membership(by).negative_subjects(clock(by)).is_empty()));
    });
}

#[test]
fn ejects_at_most_configured_share_and_never_whole_zone() {
    run_with_seeds(4, |seed| {
        let mut sim = started(5, seed);
        for by in 0..5 {
            for of in 0..BACKENDS {
                let confidence = if of >= 18 { 1.0 } else { 0.5 };
                observe(&mut sim, by, of, ClaimKind::Unresponsive, confidence);
            }
        }
        for _ in 0..20 {
            sim.run(Duration::from_millis(500));
            (0..5).for_each(|by| assert_bounds(&sim, by));
        }
        (0..5).for_each(|by| assert_eq!(ejected(&sim, by), ["box-18", "box-00", "box-01", "box-02"]));
    });
}

#[test]
fn minority_partition_ejects_nothing() {
    run_with_seeds(4, |seed| {
        let mut sim = started(5, seed);
        sim.partition(&BTreeSet::from([0, 1]));
        for _ in 0..6 {
            // Each side observes other backends as unresponsive.
            for by in 0..2 {
                (0..10).for_each(|of| observe(&mut sim, by, of, ClaimKind::Unresponsive, 1.0));
            }
            for by in 2..5 {
                (10..BACKENDS).for_each(|of| observe(&mut sim, by, of, ClaimKind::Unresponsive, 1.0));
            }
            sim.run(secs(4));
            (0..2).for_each(|by| assert_eq!(ejected(&sim, by), [""; 0]));
            (2..5).for_each(|by| assert_bounds(&sim, by));
        }
        assert_eq!(ejected(&sim, 2).len(), 4);
        sim.heal();
        sim.converge(secs(40));
        (0..5).for_each(|by| assert_bounds(&sim, by));
    });
}

#[test]
fn claims_of_dead_member_do_not_count() {
    run_with_seeds(4, |seed| {
        let mut sim = started(5, seed);
        (2..5).for_each(|by| observe(&mut sim, by, 3, ClaimKind::Slow, 1.0));
        sim.run(secs(5));
        assert_eq!(ejected(&sim, 0), ["box-03"]);
        sim.kill(4);
        sim.run(secs(10));
        assert_eq!(ejected(&sim, 0), [""; 0], "claims of two of five members are no quorum");
    });
}
