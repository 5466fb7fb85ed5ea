//! Seeded simulations of five members with reading and writing clients, with and without failures.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use cluster_types::{BackendId, BlockRange, MemberId};
use common::*;
use rand::Rng;
use resharding::*;
use std::collections::BTreeMap;

const MEMBER_COUNT: usize = 5;
const BLOCK_COUNT: u64 = 32;
const MAX_TICKS: usize = 12_000;

fn step(id: u32, first: u64, end: u64, from: &str, to: &str, after: Vec<u32>) -> Step {
    Step {
        id,
        volume: volume(),
        blocks: BlockRange { first, end },
        from: BackendId::from(from),
        to: BackendId::from(to),
        after,
        reason: "test".into(),
    }
}

fn start_plan(sim: &mut Simulation) {
    let steps = vec![
        step(1, 0, 16, "a", "b", vec![]),
        step(2, 16, 32, "a", "c", vec![]),
        step(3, 0, 8, "b", "c", vec![1]),
    ];
    let bounds =
        Bounds { max_migrations: 2, max_per_backend: 2, copy_share_permille: 500, ..Bounds::default() };
    sim.append(MemberId::from("f0"), Command::ReplacePlan { plan: "p".into(), steps, bounds });
}

/// Ticks until the plan is done on all members, then checks that each answered write is on the backend of its block.
fn finish_plan(sim: &mut Simulation, seed: u64) {
    for _ in 0..MAX_TICKS {
        sim.tick();
        let is_done = |member: &Member| {
            let state = &member.state;
            state.migrations.is_empty() && state.queue.is_empty() && state.applied.0 as usize == sim.log.len()
        };
        if sim.members.iter().all(is_done) {
            sim.load = 0.0;
            (0..100).for_each(|_| sim.tick());
            sim.check_blocks(&sim.members[0].state.placement.clone());
            assert!(sim.violations.is_empty(), "seed {seed}: {:?}\n{:?}", sim.violations, sim.stats);
            return;
        }
    }
    let tail = &sim.log[sim.log.len().saturating_sub(40)..];
    let status = sim.members[0].state.status();
    panic!("seed {seed}: no end: {status:?}\n{tail:#?}\n{:?}", sim.stats);
}

/// Without failures there are no denials, no waits beyond the limit and no lost writes.
#[test]
fn plan_runs_without_downtime() {
    for seed in 0..3 {
        let mut sim = Simulation::new(seed, MEMBER_COUNT, BLOCK_COUNT, "a");
        (0..200).for_each(|_| sim.tick());
        sim.stats.clear();
        start_plan(&mut sim);
        finish_plan(&mut sim, seed);
        let is_failure = |name: &&&str| name.starts_with("denied") || **name == "wait timeouts";
        assert_eq!(sim.stats.keys().find(is_failure), None, "{:?}", sim.stats);
        assert!(!sim.stats.contains_key("waiting reads"), "seed {seed}: {:?}", sim.stats);
        let bound = settings().max_hand_over_wait().as_micros() as u64 + 50_000;
        assert!(sim.longest_wait < bound, "seed {seed}: waited {}", sim.longest_wait);
        assert!(sim.stats["writes"] > 100, "{:?}", sim.stats);
        let placed = sim.members[1].state.placement.ranges(&volume());
        let placed: Vec<_> =
            placed.iter().map(|range| (range.blocks.first, range.backend.to_string())).collect();
        assert_eq!(placed, vec![(0, "c".to_string()), (8, "b".to_string()), (16, "c".to_string())]);
    }
}

fn inject_fault(sim: &mut Simulation) {
    let number = sim.rng.random_range(0..sim.members.len());
    match sim.rng.random_range(0..9) {
        0 | 1 if sim.members[number].is_running => sim.kill(number),
        2 => sim.members[number].is_cut_off = true,
        3 => sim.stall(number, 900_000),
        4 => {
            sim.failed_backends.insert(BackendId::from(["a", "b", "c"][number % 3]));
        }
        5 | 6 => {
            let stopped: Vec<usize> =
                (0..sim.members.len()).filter(|number| !sim.members[*number].is_running).collect();
            let keeps_state = sim.rng.random_bool(0.5);
            stopped.into_iter().for_each(|number| sim.restart(number, keeps_state));
        }
        _ => {
            sim.members.iter_mut().for_each(|member| member.is_cut_off = false);
            sim.failed_backends.clear();
        }
    }
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

/// `SEED` sets the first seed, `SEEDS` the number of seeds.
#[test]
fn writes_survive_failures() {
    let count = number_from_env("SEEDS").unwrap_or(10);
    let first = number_from_env("SEED").unwrap_or(0);
    let mut total: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in first..first + count {
        let mut sim = Simulation::new(seed, MEMBER_COUNT, BLOCK_COUNT, "a");
        sim.loss = 0.04;
        sim.stall_probability = 0.004;
        sim.load = 0.15;
        (0..150).for_each(|_| sim.tick());
        start_plan(&mut sim);
        for _ in 0..1500 {
            if sim.rng.random_bool(0.02) {
                inject_fault(&mut sim);
            }
            sim.tick();
        }
        sim.failed_backends.clear();
        (sim.loss, sim.stall_probability) = (0.0, 0.0);
        for number in 0..sim.members.len() {
            sim.members[number].is_cut_off = false;
            if !sim.members[number].is_running {
                sim.restart(number, true);
            }
        }
        finish_plan(&mut sim, seed);
        for (name, count) in &sim.stats {
            *total.entry(name).or_insert(0) += count;
        }
    }
    println!("{total:?}");
}
