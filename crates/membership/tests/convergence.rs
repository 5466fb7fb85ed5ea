//! All members converge on one view, whatever the network and the processes did before.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use membership::{Event, MemberState};
use rand::Rng;
use sim::{name, seeds, Sim, INCARNATION_STEP};
use std::collections::BTreeSet;
use std::time::Duration;

/// After healing, all have one view within this time. The longest way to it: a probe fails at a member with bad local health (4 s),
/// its suspicion ends (16 s at 5 members, 32 s at 100), and what was reported wrongly meanwhile is refuted.
const CONVERGENCE: Duration = Duration::from_secs(40);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Whether some member put `other` into that state, from the change of that number on.
fn was_held(sim: &Sim, from: usize, other: usize, state: MemberState) -> bool {
    sim.changes[from..].iter().any(|(_, _, member, held)| *member == name(other) && *held == state)
}

/// A random fault of links, processes or clocks, or the end of all faults.
fn inject_fault(sim: &mut Sim) {
    let count = sim.nodes.len();
    let index = sim.rng.random_range(0..count);
    match sim.rng.random_range(0..8) {
        0 => {
            let left = (0..count).filter(|_| sim.rng.random_bool(0.5)).collect();
            sim.partition(&left);
        }
        1 => {
            let other = sim.rng.random_range(0..count);
            sim.blocked.insert((index, other));
        }
        2 => sim.blocked.extend((0..count).map(|other| (other, index))),
        3 => {
            let span = Duration::from_millis(sim.rng.random_range(0..9_000));
            sim.stall(index, span);
        }
        4 => sim.kill(index),
        5 => sim.start(index),
        6 => sim.loss = sim.rng.random_range(0.0..0.4),
        _ => sim.heal(),
    }
}

/// Faults for a while, then none: all that run converge on one view, and keep it.
fn converges_after_faults(count: usize, seed: u64, faults: usize) {
    let mut sim = Sim::started(count, seed);
    sim.delay_ms = (1, sim.rng.random_range(2..200));
    sim.duplication = 0.1;
    for _ in 0..faults {
        inject_fault(&mut sim);
        let span = Duration::from_millis(sim.rng.random_range(100..3_000));
        sim.run(span);
    }
    sim.heal();
    sim.loss = 0.01;
    sim.delay_ms = (1, 20);
    let stopped: Vec<usize> = (0..count).filter(|index| sim.nodes[*index].membership.is_none()).collect();
    // Some that were killed stay so; most are started again.
    let restarted = stopped.iter().filter(|index| **index % 4 != 3);
    restarted.for_each(|index| sim.start(*index));
    sim.converge(CONVERGENCE);
    let from = sim.changes.len();
    sim.run(secs(5));
    let held_dead = |index: &usize| {
        sim.nodes[*index].membership.is_some() && was_held(&sim, from, *index, MemberState::Dead)
    };
    assert_eq!((0..count).find(held_dead), None, "held dead without a fault");
}

#[test]
fn five_members_converge_after_faults() {
    seeds(200, |seed| converges_after_faults(5, seed, 8));
}

#[test]
fn twenty_five_members_converge_after_faults() {
    seeds(4, |seed| converges_after_faults(25, seed + 1_000, 10));
}

#[test]
fn hundred_members_converge_after_join_and_partition() {
    let mut sim = Sim::started(100, 3);
    sim.loss = 0.01;
    sim.converge(secs(15));
    sim.partition(&(0..50).collect());
    sim.run(secs(11));
    let views = (0..100).flat_map(|index| sim.view(index));
    let dead = views.filter(|member| member.state == MemberState::Dead).count();
    assert!(dead > 1_000, "the partition was noticed: {dead}");
    sim.heal();
    sim.converge(CONVERGENCE);
}

#[test]
#[ignore = "long: MEMBERS_TIMES=4 cargo test -p membership --release -- --ignored"]
fn many_seeds_converge_after_faults() {
    seeds(500, |seed| converges_after_faults(5, seed + 10_000, 25));
    seeds(20, |seed| converges_after_faults(25, seed + 20_000, 25));
    seeds(4, |seed| converges_after_faults(100, seed + 30_000, 12));
}

#[test]
fn detects_dead_member_and_accepts_its_return() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        sim.kill(4);
        // A period until it is probed by one of four, another for the probe, four of suspicion, one to disseminate.
        sim.run(secs(10));
        assert!((0..4).all(|index| sim.state(index, 4) == Some(MemberState::Dead)));
        sim.start(4);
        sim.converge(secs(5));
        // Restarted at once: the new incarnation is known though the old one was never held dead.
        let (from, incarnation) = (sim.changes.len(), sim.nodes[4].settings.incarnation);
        sim.kill(4);
        sim.start(4);
        sim.converge(secs(5));
        sim.run(secs(8));
        assert!(!was_held(&sim, from, 4, MemberState::Dead));
        let known = (0..4).map(|index| sim.view(index)[4].base_incarnation);
        assert!(known.into_iter().all(|known| known == incarnation + INCARNATION_STEP));
    });
}

#[test]
fn leaving_member_is_never_suspected() {
    seeds(8, |seed| {
        let mut sim = Sim::started(25, seed);
        sim.converge(secs(10));
        sim.event(7, Event::Leave);
        sim.run(secs(1));
        assert!(sim.membership(7).has_left() && sim.membership(7).wake().is_none());
        sim.kill(7);
        sim.run(secs(10));
        assert!(sim.running().iter().all(|index| sim.state(*index, 7) == Some(MemberState::Left)));
        assert!(!was_held(&sim, 0, 7, MemberState::Suspect) && !was_held(&sim, 0, 7, MemberState::Dead));
        sim.start(7);
        sim.converge(secs(10));
    });
}

#[test]
fn broken_links_and_deaf_member_cause_no_false_deaths() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        let from = sim.changes.len();
        sim.blocked.extend([(0, 1), (1, 0), (2, 3)]);
        sim.run(secs(20));
        assert!((0..5).all(|index| !was_held(&sim, from, index, MemberState::Dead)), "others reach them");
        sim.heal();
        // The last member receives nothing, but sends.
        sim.blocked = (0..4).map(|from| (from, 4)).collect();
        let from = sim.changes.len();
        sim.run(secs(40));
        let wrong = sim.changes[from..]
            .iter()
            .find(|(_, by, member, state)| *by != 4 && *member != name(4) && *state == MemberState::Dead);
        assert_eq!(wrong, None);
        assert!((0..4).all(|index| sim.state(index, 4) == Some(MemberState::Dead)));
        sim.heal();
        sim.converge(CONVERGENCE);
    });
}

#[test]
fn stalled_process_holds_no_member_dead() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        let from = sim.changes.len();
        sim.stall(2, secs(30));
        sim.run(secs(29));
        let others = (0..5).filter(|by| *by != 2);
        assert!(others.into_iter().all(|by| sim.state(by, 2) == Some(MemberState::Dead)));
        sim.run(secs(2));
        let changes = &sim.changes[from..];
        let wrong = changes.iter().find(|(_, by, _, state)| *by == 2 && *state == MemberState::Dead);
        assert_eq!(wrong, None);
        sim.converge(secs(10));
        assert_eq!(sim.membership(2).counters().stalls, 1);
    });
}

#[test]
fn converges_on_smallest_send_budget() {
    seeds(2, |seed| {
        let mut sim = Sim::new(25, seed);
        for node in &mut sim.nodes {
            (node.settings.bytes_per_second, node.settings.burst_bytes) = (1_024, 4_800);
        }
        (0..25).for_each(|index| sim.start(index));
        sim.loss = 0.01;
        // `run` checks each member's bytes.
        sim.converge(secs(60));
        let from = sim.changes.len();
        sim.run(secs(30));
        assert!((0..25).all(|index| !was_held(&sim, from, index, MemberState::Dead)));
        sim.kill(24);
        sim.run(secs(30));
        assert!((0..24).all(|index| sim.state(index, 24) == Some(MemberState::Dead)));
    });
}

#[test]
fn reachable_member_is_soon_held_alive() {
    // After a partition, a member that is held dead is alive again within a contact and what it takes to disseminate it.
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        sim.partition(&BTreeSet::from([0, 3]));
        sim.run(secs(20));
        sim.heal();
        sim.run(secs(12));
        assert_eq!(sim.disagreement(), None);
    });
}
