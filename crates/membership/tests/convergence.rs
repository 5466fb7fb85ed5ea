//! Tests that all members converge on one view after network and process faults.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use membership::{Event, MemberState};
use rand::Rng;
use sim::{name, run_with_seeds, Sim, INCARNATION_STEP};
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum time to converge once all faults have ended. In the worst case a probe fails at a member with bad local health
/// (4 s), its suspicion times out (16 s with 5 members, 32 s with 100), and false reports made meanwhile are refuted.
const MAX_CONVERGENCE: Duration = Duration::from_secs(40);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Whether any member marked `other` with that state, in the changes from index `from` on.
fn was_marked(sim: &Sim, from: usize, other: usize, state: MemberState) -> bool {
    sim.changes[from..].iter().any(|(_, _, member, marked)| *member == name(other) && *marked == state)
}

/// Injects a random link or process fault, or ends all link faults and stalls.
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

/// Injects faults, ends them, and asserts that all running members converge on one view and keep it.
fn assert_converges_after_faults(count: usize, seed: u64, faults: usize) {
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
    // Most of the killed members are restarted; the others stay stopped.
    let restarted = stopped.iter().filter(|index| **index % 4 != 3);
    restarted.for_each(|index| sim.start(*index));
    sim.converge(MAX_CONVERGENCE);
    let from = sim.changes.len();
    sim.run(secs(5));
    let was_marked_dead = |index: &usize| {
        sim.nodes[*index].membership.is_some() && was_marked(&sim, from, *index, MemberState::Dead)
    };
    assert_eq!((0..count).find(was_marked_dead), None, "a running member was marked as dead without a fault");
}

#[test]
fn five_members_converge_after_faults() {
    run_with_seeds(200, |seed| assert_converges_after_faults(5, seed, 8));
}

#[test]
fn twenty_five_members_converge_after_faults() {
    run_with_seeds(4, |seed| assert_converges_after_faults(25, seed + 1_000, 10));
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
    assert!(dead > 1_000, "the partition was not detected: {dead}");
    sim.heal();
    sim.converge(MAX_CONVERGENCE);
}

#[test]
#[ignore = "long: MEMBERS_TIMES=4 cargo test -p membership --release -- --ignored"]
fn many_seeds_converge_after_faults() {
    run_with_seeds(500, |seed| assert_converges_after_faults(5, seed + 10_000, 25));
    run_with_seeds(20, |seed| assert_converges_after_faults(25, seed + 20_000, 25));
    run_with_seeds(4, |seed| assert_converges_after_faults(100, seed + 30_000, 12));
}

#[test]
fn detects_dead_member_and_readmits_it_after_restart() {
    run_with_seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        sim.kill(4);
        // One period until one of the four probes it, one for the probe, four of suspicion, one for dissemination.
        sim.run(secs(10));
        assert!((0..4).all(|index| sim.state(index, 4) == Some(MemberState::Dead)));
        sim.start(4);
        sim.converge(secs(5));
        // After an immediate restart, the new incarnation is known though the old one was never marked as dead.
        let (from, incarnation) = (sim.changes.len(), sim.nodes[4].settings.incarnation);
        sim.kill(4);
        sim.start(4);
        sim.converge(secs(5));
        sim.run(secs(8));
        assert!(!was_marked(&sim, from, 4, MemberState::Dead));
        let known = (0..4).map(|index| sim.view(index)[4].base_incarnation);
        assert!(known.into_iter().all(|known| known == incarnation + INCARNATION_STEP));
    });
}

#[test]
fn leaving_member_is_never_suspected() {
    run_with_seeds(8, |seed| {
        let mut sim = Sim::started(25, seed);
        sim.converge(secs(10));
        sim.event(7, Event::Leave);
        sim.run(secs(1));
        assert!(sim.membership(7).has_left() && sim.membership(7).wake().is_none());
        sim.kill(7);
        sim.run(secs(10));
        assert!(sim.running().iter().all(|index| sim.state(*index, 7) == Some(MemberState::Left)));
        assert!(!was_marked(&sim, 0, 7, MemberState::Suspect) && !was_marked(&sim, 0, 7, MemberState::Dead));
        sim.start(7);
        sim.converge(secs(10));
    });
}

#[test]
fn failed_links_and_member_without_incoming_traffic_cause_no_false_deaths() {
    run_with_seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        let from = sim.changes.len();
        sim.blocked.extend([(0, 1), (1, 0), (2, 3)]);
        sim.run(secs(20));
        assert!(
            (0..5).all(|index| !was_marked(&sim, from, index, MemberState::Dead)),
            "indirect probes must reach the members"
        );
        sim.heal();
        // The last member can send but receives nothing, so it regards all others as dead.
        sim.blocked = (0..4).map(|from| (from, 4)).collect();
        let from = sim.changes.len();
        sim.run(secs(40));
        let wrong = sim.changes[from..]
            .iter()
            .find(|(_, by, member, state)| *by != 4 && *member != name(4) && *state == MemberState::Dead);
        assert_eq!(wrong, None);
        assert!((0..4).all(|index| sim.state(index, 4) == Some(MemberState::Dead)));
        sim.heal();
        sim.converge(MAX_CONVERGENCE);
    });
}

#[test]
fn stalled_process_marks_no_member_as_dead() {
    run_with_seeds(8, |seed| {
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
    run_with_seeds(2, |seed| {
        let mut sim = Sim::new(25, seed);
        for node in &mut sim.nodes {
            (node.settings.bytes_per_second, node.settings.burst_bytes) = (1_024, 4_800);
        }
        (0..25).for_each(|index| sim.start(index));
        sim.loss = 0.01;
        // `run` checks that no member exceeds its send budget.
        sim.converge(secs(60));
        let from = sim.changes.len();
        sim.run(secs(30));
        assert!((0..25).all(|index| !was_marked(&sim, from, index, MemberState::Dead)));
        sim.kill(24);
        sim.run(secs(30));
        assert!((0..24).all(|index| sim.state(index, 24) == Some(MemberState::Dead)));
    });
}

#[test]
fn members_marked_dead_during_partition_are_alive_again_soon() {
    // After a partition, a dead member is alive again within one reconnect interval plus the time for dissemination.
    run_with_seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.converge(secs(5));
        sim.partition(&BTreeSet::from([0, 3]));
        sim.run(secs(20));
        sim.heal();
        sim.run(secs(12));
        assert_eq!(sim.disagreement(), None);
    });
}
