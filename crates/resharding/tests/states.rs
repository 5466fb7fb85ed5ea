//! One move, and one mishap in each of its states.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use cluster_types::{BackendId, BlockRange, Index, MemberId};
use common::*;
use rand::Rng;
use resharding::*;
use rstest::rstest;

const PHASES: [&str; 6] = ["prepare", "copy", "catch up", "hand over", "switch", "release"];

fn begin(seed: u64, to: &str) -> Sim {
    let mut sim = Sim::new(seed, 5, 32, "a");
    (0..150).for_each(|_| sim.tick());
    sim.stats.clear();
    replace(&mut sim, "first", to);
    sim
}

fn replace(sim: &mut Sim, plan: &str, to: &str) {
    let blocks = BlockRange { first: 4, end: 20 };
    let (from, to) = (BackendId::from("a"), BackendId::from(to));
    let step = Step { id: 1, volume: volume(), blocks, from, to, after: vec![], why: "test".into() };
    let bounds = Bounds { share_milli: 500, ..Bounds::default() };
    sim.append(MemberId::from("f0"), Command::Replace { plan: plan.into(), steps: vec![step], bounds });
}

/// The replica that is furthest.
fn newest(sim: &Sim) -> &Moves {
    sim.nodes.iter().map(|n| &n.moves).max_by_key(|m| m.applied).unwrap()
}

fn current(sim: &Sim) -> Option<(Index, &Move)> {
    newest(sim).active.iter().next().map(|(id, m)| (*id, m))
}

fn until(sim: &mut Sim, phase: &str) {
    for _ in 0..4000 {
        if current(sim).is_some_and(|(_, m)| m.phase.name() == phase) {
            return;
        }
        sim.tick();
    }
    panic!("never came to {phase}: {:?}", newest(sim).tell());
}

fn ended(sim: &mut Sim, ticks: usize) -> bool {
    for _ in 0..ticks {
        sim.tick();
        let upto = sim.log.len();
        let idle = |m: &Moves| m.applied.0 as usize == upto && m.active.is_empty() && m.queue.is_empty();
        let all = sim.nodes.iter().filter(|n| n.up && !n.cut).all(|n| idle(&n.moves));
        if all {
            return true;
        }
    }
    false
}

fn check(sim: &mut Sim, on: &str, what: &str) {
    sim.load = 0.0;
    (0..100).for_each(|_| sim.tick());
    let moves = newest(sim).clone();
    for block in sim.history.blocks() {
        let at = moves.placement.find(&volume(), BlockRange { first: block, end: block + 1 }).unwrap();
        let value = sim.boxes[&at[0].on].get(&block).copied().unwrap_or(0);
        let found = sim.history.found(block, value, sim.now);
        sim.bad.extend(found.err());
    }
    assert!(sim.bad.is_empty(), "{what}: {:?}", sim.bad);
    let placed = moves.placement.find(&volume(), BlockRange { first: 4, end: 20 }).unwrap();
    assert!(placed.iter().all(|p| p.on == BackendId::from(on)), "{what}: {placed:?}");
}

/// The mover where there is one, else the leader.
fn victim(sim: &Sim) -> usize {
    let mover = current(sim).and_then(|(_, m)| m.mover.clone()).map(|(f, _)| f);
    let at = mover.and_then(|f| sim.nodes.iter().position(|n| n.me == f));
    at.or(sim.leader).unwrap_or(0)
}

#[derive(Clone, Copy, Debug)]
enum Mishap {
    KilledAndKept,
    KilledAndLost,
    Stalled,
    Cut,
    TargetDies,
    Replaced,
    Canceled,
}

#[rstest]
fn a_mishap_in_each_state(
    #[values(0, 1, 2, 3, 4, 5)] phase: usize,
    #[values(
        Mishap::KilledAndKept,
        Mishap::KilledAndLost,
        Mishap::Stalled,
        Mishap::Cut,
        Mishap::TargetDies,
        Mishap::Replaced,
        Mishap::Canceled
    )]
    mishap: Mishap,
) {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    for seed in 0..seeds {
        let what = format!("{mishap:?} in {}, seed {seed}", PHASES[phase]);
        let mut sim = begin(seed, "b");
        until(&mut sim, PHASES[phase]);
        let before = phase < 4;
        let i = victim(&sim);
        let rest = sim.rng.random_range(20..220);
        let mut on = "b";
        match mishap {
            Mishap::KilledAndKept | Mishap::KilledAndLost => {
                sim.kill(i);
                (0..rest).for_each(|_| sim.tick());
                sim.restart(i, matches!(mishap, Mishap::KilledAndKept));
            }
            Mishap::Stalled => sim.stall(i, 800_000),
            Mishap::Cut => {
                sim.nodes[i].cut = true;
                (0..rest).for_each(|_| sim.tick());
                sim.nodes[i].cut = false;
            }
            Mishap::TargetDies => {
                sim.dead.insert(BackendId::from("b"));
                (0..rest).for_each(|_| sim.tick());
                if before {
                    let m = current(&sim);
                    assert!(m.is_none_or(|(_, m)| matches!(m.phase, Phase::Back { .. })), "{what}");
                }
                sim.dead.clear();
            }
            Mishap::Replaced => {
                replace(&mut sim, "second", "c");
                on = if before { "c" } else { "b" };
            }
            Mishap::Canceled => {
                let id = current(&sim).unwrap().0;
                sim.append(MemberId::from("f0"), Command::Cancel { id });
                on = if before { "a" } else { "b" };
            }
        }
        let done = ended(&mut sim, 4000);
        assert!(done, "{what}: {:?}\n{:?}", newest(&sim).tell(), sim.stats);
        check(&mut sim, on, &what);
    }
}

/// Guards against a move that goes on without a front that never heard of it, and against one that can't be
/// freed of a front that is gone for good.
#[test]
fn a_front_that_is_cut_off_blocks_until_it_is_excused() {
    let mut sim = begin(5, "b");
    sim.kill(3);
    assert!(!ended(&mut sim, 600));
    let (_, m) = current(&sim).unwrap();
    assert_eq!(m.phase, Phase::Prepare);
    assert!(newest(&sim).tell()[0].waits[0].contains("f3 has not acknowledged"));
    let (now, l) = (sim.local(sim.leader.unwrap()), sim.leader.unwrap());
    assert!(sim.lead.excuse(now, &sim.nodes[l].me.clone()).is_err(), "one that is there was excused");
    let word = sim.lead.excuse(now, &MemberId::from("f3")).unwrap();
    sim.append(MemberId::from("f0"), word);
    assert!(ended(&mut sim, 3000), "{:?}", newest(&sim).tell());
    sim.restart(3, true);
    (0..300).for_each(|_| sim.tick());
    check(&mut sim, "b", "excused");
}

/// Guards against a copy that its mover sends after it was deposed, over what another has copied since.
#[test]
fn a_late_copy_of_a_deposed_mover_is_copied_over() {
    for seed in 0..6 {
        let mut sim = begin(seed, "b");
        until(&mut sim, "copy");
        sim.stray_copy = true;
        while sim.stray_copy {
            sim.tick();
        }
        // What it holds back is written anew by clients and copied by another, and then by nobody.
        (0..60).for_each(|_| sim.tick());
        sim.load = 0.0;
        let done = ended(&mut sim, 4000);
        assert!(done, "seed {seed}: {:?}", newest(&sim).tell());
        check(&mut sim, "b", &format!("seed {seed}"));
    }
}

/// Guards against a front with all of it silent that refuses what does not move.
#[test]
fn ranges_that_do_not_move_are_served_by_a_front_that_is_cut_off() {
    let mut sim = begin(6, "b");
    until(&mut sim, "copy");
    (0..40).for_each(|_| sim.tick());
    sim.nodes[2].cut = true;
    (0..200).for_each(|_| sim.tick());
    let now = sim.local(2);
    let mut ask =
        |first, end, write| sim.nodes[2].front.may(now, &volume(), BlockRange { first, end }, write);
    assert!(matches!(ask(0, 4, true), May::Go { .. }));
    assert!(matches!(ask(20, 22, true), May::Go { .. }));
    assert_eq!(ask(5, 6, true), May::Refuse(Why::Lease));
    assert_eq!(ask(19, 21, true), May::Refuse(Why::Lease), "a part of it moves");
}

/// Guards against a started front that writes by what it knew before.
#[test]
fn a_started_front_reads_but_does_not_write() {
    let mut sim = begin(7, "b");
    (0..100).for_each(|_| sim.tick());
    sim.kill(1);
    sim.restart(1, true);
    let now = sim.local(1);
    let front = &mut sim.nodes[1].front;
    assert_eq!(front.may(now, &volume(), BlockRange { first: 30, end: 31 }, true), May::Refuse(Why::Started));
    let read = front.may(now, &volume(), BlockRange { first: 30, end: 31 }, false);
    assert!(matches!(read, May::Go { sure: false, .. }), "{read:?}");
}

/// Guards against an answer for a booking whose front stalled right before it sent, over the whole hand-over; and
/// against an old place that is given away while such a front has not been heard.
#[test]
fn a_booking_that_was_stalled_over_the_hand_over_is_failed() {
    let mut sim = begin(8, "b");
    until(&mut sim, "copy");
    while current(&sim).unwrap().1.mover.is_none() {
        sim.tick();
    }
    let leader = sim.leader.unwrap();
    let i = (0..5).find(|i| *i != leader && *i != victim(&sim)).unwrap();
    while !matches!(
        newest(&sim).active.values().next().unwrap().fronts[&sim.nodes[i].me],
        Standing::Uses { .. }
    ) {
        sim.tick();
    }
    let now = sim.local(i);
    let may = sim.nodes[i].front.may(now, &volume(), BlockRange { first: 5, end: 6 }, true);
    let May::Go { ticket, .. } = may else { panic!("{may:?}") };
    sim.stall(i, 4_000_000);
    until(&mut sim, "release");
    (0..100).for_each(|_| sim.tick());
    assert_eq!(current(&sim).unwrap().1.phase.name(), "release");
    assert!(newest(&sim).tell()[0].waits[0].contains("must be heard"));
    let now = sim.local(i);
    assert_eq!(sim.nodes[i].front.done(ticket, now, Ending::Ran), Kept::MayHaveRun);
    assert!(ended(&mut sim, 3000));
}
