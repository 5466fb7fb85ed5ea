//! Five fronts, clients that read and book, and all that may fail, from seeds.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use cluster_types::{BackendId, BlockRange, MemberId};
use common::*;
use rand::Rng;
use resharding::*;

fn step(id: u32, first: u64, end: u64, from: &str, to: &str, after: Vec<u32>) -> Step {
    let blocks = BlockRange { first, end };
    Step {
        id,
        volume: volume(),
        blocks,
        from: BackendId::from(from),
        to: BackendId::from(to),
        after,
        why: "test".into(),
    }
}

fn start(sim: &mut Sim) {
    let steps = vec![
        step(1, 0, 16, "a", "b", vec![]),
        step(2, 16, 32, "a", "c", vec![]),
        step(3, 0, 8, "b", "c", vec![1]),
    ];
    let bounds = Bounds { moves_at_once: 2, per_box: 2, share_milli: 500, ..Bounds::default() };
    sim.append(MemberId::from("f0"), Command::Replace { plan: "p".into(), steps, bounds });
}

/// Guards against an answered booking that is lost or not at its place, once all is quiet.
fn settled(sim: &mut Sim, seed: u64) {
    for _ in 0..100 {
        sim.tick();
    }
    let last = sim.nodes[0].moves.clone();
    for block in sim.history.blocks() {
        let at = last.placement.find(&volume(), BlockRange { first: block, end: block + 1 }).unwrap();
        let value = sim.boxes[&at[0].on].get(&block).copied().unwrap_or(0);
        let found = sim.history.found(block, value, sim.now);
        sim.bad.extend(found.err());
    }
    assert!(sim.bad.is_empty(), "seed {seed}: {:?}\n{:?}", sim.bad, sim.stats);
}

fn finish(sim: &mut Sim, seed: u64) {
    for _ in 0..12_000 {
        sim.tick();
        let all = sim.nodes.iter().all(|n| n.moves.active.is_empty() && n.moves.queue.is_empty());
        if all && sim.nodes.iter().all(|n| n.moves.applied.0 as usize == sim.log.len()) {
            sim.load = 0.0;
            return settled(sim, seed);
        }
    }
    let tail = &sim.log[sim.log.len().saturating_sub(40)..];
    let told: Vec<_> =
        sim.nodes[0].moves.tell().into_iter().map(|t| (t.step, t.state, t.waits, t.left)).collect();
    panic!("seed {seed}: no end: {told:?}\n{tail:#?}\n{:?}", sim.stats);
}

/// Guards against refusals, long waits and lost bookings where nothing fails.
#[test]
fn a_plan_runs_with_no_downtime() {
    for seed in 0..3 {
        let mut sim = Sim::new(seed, 5, 32, "a");
        (0..200).for_each(|_| sim.tick());
        sim.stats.clear();
        start(&mut sim);
        finish(&mut sim, seed);
        assert!(
            !sim.stats.keys().any(|k| k.starts_with("refused") || *k == "waited too long"),
            "{:?}",
            sim.stats
        );
        assert!(!sim.stats.contains_key("reads that wait"), "seed {seed}: {:?}", sim.stats);
        let bound = rules().hand_over_bound().as_micros() as u64 + 50_000;
        assert!(sim.longest_wait < bound, "seed {seed}: waited {}", sim.longest_wait);
        assert!(sim.stats["bookings"] > 100, "{:?}", sim.stats);
        let placed = sim.nodes[1].moves.placement.ranges(&volume());
        let on: Vec<_> = placed.iter().map(|p| (p.blocks.first, p.on.to_string())).collect();
        assert_eq!(on, vec![(0, "c".to_string()), (8, "b".to_string()), (16, "c".to_string())]);
    }
}

fn trouble(sim: &mut Sim) {
    let i = sim.rng.random_range(0..sim.nodes.len());
    match sim.rng.random_range(0..9) {
        0 | 1 if sim.nodes[i].up => sim.kill(i),
        2 => sim.nodes[i].cut = true,
        3 => sim.stall(i, 900_000),
        4 => {
            let on = BackendId::from(["a", "b", "c"][i % 3]);
            sim.dead.insert(on);
        }
        5 | 6 => {
            let down: Vec<usize> = (0..sim.nodes.len()).filter(|i| !sim.nodes[*i].up).collect();
            let kept = sim.rng.random_bool(0.5);
            down.into_iter().for_each(|i| sim.restart(i, kept));
        }
        _ => {
            sim.nodes.iter_mut().for_each(|n| n.cut = false);
            sim.dead.clear();
        }
    }
}

#[test]
fn bookings_survive_whatever_fails() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(10);
    let from = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut total = std::collections::BTreeMap::new();
    for seed in from..from + seeds {
        let mut sim = Sim::new(seed, 5, 32, "a");
        (sim.lossy, sim.stalls) = (0.04, 0.004);
        sim.load = 0.15;
        (0..150).for_each(|_| sim.tick());
        start(&mut sim);
        for _ in 0..1500 {
            if sim.rng.random_bool(0.02) {
                trouble(&mut sim);
            }
            sim.tick();
        }
        sim.dead.clear();
        (sim.lossy, sim.stalls) = (0.0, 0.0);
        for i in 0..sim.nodes.len() {
            sim.nodes[i].cut = false;
            if !sim.nodes[i].up {
                sim.restart(i, true);
            }
        }
        finish(&mut sim, seed);
        sim.stats.iter().for_each(|(k, n)| *total.entry(*k).or_insert(0) += n);
    }
    println!("{total:?}");
}
