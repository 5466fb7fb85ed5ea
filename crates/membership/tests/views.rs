//! One view at all members, whatever the network and the processes did before.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use membership::{Event, State};
use rand::Rng;
use sim::{name, seeds, Sim};
use std::collections::BTreeSet;
use std::time::Duration;

/// After healing, all hold one view within this time. The longest way to it: a probe fails at a member that doubts itself (4 s),
/// its suspicion ends (16 s at 5 members, 32 s at 100), and what was told wrong on the way is disproved.
const ONE_VIEW: Duration = Duration::from_secs(40);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Whether somebody came to hold that one so, from the change of that number on.
fn held(sim: &Sim, from: usize, whom: usize, state: State) -> bool {
    sim.changes[from..].iter().any(|(_, _, member, held)| *member == name(whom) && *held == state)
}

/// Some trouble by chance: links, processes, clocks.
fn trouble(sim: &mut Sim) {
    let count = sim.nodes.len();
    let which = sim.rng.random_range(0..count);
    match sim.rng.random_range(0..8) {
        0 => {
            let left = (0..count).filter(|_| sim.rng.random_bool(0.5)).collect();
            sim.split(&left);
        }
        1 => {
            let other = sim.rng.random_range(0..count);
            sim.cut.insert((which, other));
        }
        2 => sim.cut.extend((0..count).map(|other| (other, which))),
        3 => {
            let span = Duration::from_millis(sim.rng.random_range(0..9_000));
            sim.stand_still(which, span);
        }
        4 => sim.kill(which),
        5 => sim.start(which),
        6 => sim.loss = sim.rng.random_range(0.0..0.4),
        _ => sim.heal(),
    }
}

/// Trouble for a while, then none: all that run find one view, and keep it.
fn heals(count: usize, seed: u64, troubles: usize) {
    let mut sim = Sim::started(count, seed);
    sim.delay_ms = (1, sim.rng.random_range(2..200));
    sim.doubled = 0.1;
    for _ in 0..troubles {
        trouble(&mut sim);
        let span = Duration::from_millis(sim.rng.random_range(100..3_000));
        sim.run(span);
    }
    sim.heal();
    sim.loss = 0.01;
    sim.delay_ms = (1, 20);
    let down: Vec<usize> = (0..count).filter(|which| sim.nodes[*which].machine.is_none()).collect();
    // Some that ended stay down; most come back.
    let back = down.iter().filter(|which| **which % 4 != 3);
    back.for_each(|which| sim.start(*which));
    sim.settle(ONE_VIEW);
    let from = sim.changes.len();
    sim.run(secs(5));
    let dead =
        (0..count).find(|which| sim.nodes[*which].machine.is_some() && held(&sim, from, *which, State::Dead));
    assert_eq!(dead, None, "held dead in calm");
}

#[test]
fn five_members_find_one_view_after_any_trouble() {
    seeds(200, |seed| heals(5, seed, 8));
}

#[test]
fn more_members_find_one_view_after_any_trouble() {
    seeds(4, |seed| heals(25, seed + 1_000, 10));
}

#[test]
fn a_hundred_members_join_split_and_find_together() {
    let mut sim = Sim::started(100, 3);
    sim.loss = 0.01;
    sim.settle(secs(15));
    sim.split(&(0..50).collect());
    sim.run(secs(11));
    let lost = (0..100).flat_map(|one| sim.view(one)).filter(|member| member.state == State::Dead).count();
    assert!(lost > 1_000, "the split was noticed: {lost}");
    sim.heal();
    sim.settle(ONE_VIEW);
}

#[test]
#[ignore = "long: MEMBERS_TIMES=4 cargo test -p members --release -- --ignored"]
fn long_form() {
    seeds(500, |seed| heals(5, seed + 10_000, 25));
    seeds(20, |seed| heals(25, seed + 20_000, 25));
    seeds(4, |seed| heals(100, seed + 30_000, 12));
}

#[test]
fn a_dead_member_is_noticed_and_one_that_comes_back_is_taken_again() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.settle(secs(5));
        sim.kill(4);
        // A period until it is probed by one of four, another for the probe, four of suspicion, one to tell.
        sim.run(secs(10));
        assert!((0..4).all(|which| sim.state(which, 4) == Some(State::Dead)));
        sim.start(4);
        sim.settle(secs(5));
        // Anew at once: the new life is known though the old one was never held dead.
        let (from, life) = (sim.changes.len(), sim.nodes[4].settings.life);
        sim.kill(4);
        sim.start(4);
        sim.settle(secs(5));
        sim.run(secs(8));
        assert!(!held(&sim, from, 4, State::Dead));
        let lives = (0..4).map(|which| sim.view(which)[4].life);
        assert!(lives.into_iter().all(|held| held == life + (1 << 20)));
    });
}

#[test]
fn a_member_that_leaves_is_never_suspected() {
    seeds(8, |seed| {
        let mut sim = Sim::started(25, seed);
        sim.settle(secs(10));
        sim.event(7, Event::Leave);
        sim.run(secs(1));
        assert!(sim.machine(7).gone() && sim.machine(7).wake().is_none());
        sim.kill(7);
        sim.run(secs(10));
        assert!(sim.up().iter().all(|which| sim.state(*which, 7) == Some(State::Left)));
        assert!(!held(&sim, 0, 7, State::Suspect) && !held(&sim, 0, 7, State::Dead));
        sim.start(7);
        sim.settle(secs(10));
    });
}

#[test]
fn one_broken_link_is_no_death_and_one_deaf_member_ends_nobody() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.settle(secs(5));
        let from = sim.changes.len();
        sim.cut.extend([(0, 1), (1, 0), (2, 3)]);
        sim.run(secs(20));
        assert!((0..5).all(|whom| !held(&sim, from, whom, State::Dead)), "others reach them");
        sim.heal();
        // The last hears nothing, but speaks.
        sim.cut = (0..4).map(|from| (from, 4)).collect();
        let from = sim.changes.len();
        sim.run(secs(40));
        let told = &sim.changes[from..];
        let wrong = told
            .iter()
            .find(|(_, by, member, state)| *by != 4 && *member != name(4) && *state == State::Dead);
        assert_eq!(wrong, None);
        assert!((0..4).all(|which| sim.state(which, 4) == Some(State::Dead)));
        sim.heal();
        sim.settle(ONE_VIEW);
    });
}

#[test]
fn a_process_that_stood_still_holds_nobody_dead_for_it() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.settle(secs(5));
        let from = sim.changes.len();
        sim.stand_still(2, secs(30));
        sim.run(secs(29));
        assert!((0..5).filter(|by| *by != 2).all(|by| sim.state(by, 2) == Some(State::Dead)));
        sim.run(secs(2));
        let wrong = sim.changes[from..].iter().find(|(_, by, _, state)| *by == 2 && *state == State::Dead);
        assert_eq!(wrong, None);
        sim.settle(secs(10));
        assert_eq!(sim.machine(2).figures().stood_still, 1);
    });
}

#[test]
fn members_keep_together_on_the_fewest_bytes() {
    seeds(2, |seed| {
        let mut sim = Sim::new(25, seed);
        for node in &mut sim.nodes {
            (node.settings.bytes, node.settings.burst) = (1_024, 4_800);
        }
        (0..25).for_each(|which| sim.start(which));
        sim.loss = 0.01;
        // `run` looks at each member's bytes as it goes.
        sim.settle(secs(60));
        let from = sim.changes.len();
        sim.run(secs(30));
        assert!((0..25).all(|which| !held(&sim, from, which, State::Dead)));
        sim.kill(24);
        sim.run(secs(30));
        assert!((0..24).all(|which| sim.state(which, 24) == Some(State::Dead)));
    });
}

#[test]
fn no_reachable_member_stays_dead_for_long() {
    // The same at every instant of a long calm after a split: who is held dead is back within a contact and what it takes to tell.
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.settle(secs(5));
        sim.split(&BTreeSet::from([0, 3]));
        sim.run(secs(20));
        sim.heal();
        sim.run(secs(12));
        assert_eq!(sim.differs(), None);
    });
}
