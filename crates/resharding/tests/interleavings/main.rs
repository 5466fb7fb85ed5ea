//! Explores all interleavings of one migration: two members, one block, up to two writes, lease expirations, a member
//! that stalls immediately before it sends, and a kill. In each state, checks what each member would read.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod backends;
mod successors;
mod world;

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use world::{Limits, World};

const MAX_STATES: usize = 3_000_000;

struct Explored {
    states: usize,
    /// The number of states on the target backend with all writes answered.
    complete: usize,
}

fn explore(limits: Limits) -> Explored {
    let mut visited = HashSet::new();
    let mut pending = vec![World::new(limits)];
    let (mut complete, mut longest_log) = (0, 0);
    let mut phases = BTreeMap::new();
    while let Some(world) = pending.pop() {
        let mut violations: Vec<String> = world.check_reads().err().into_iter().collect();
        let successors = world.successors(&mut violations);
        assert!(
            violations.is_empty(),
            "{violations:?}\n{:?}\n{:?} {:?}",
            world.log,
            world.writes,
            world.copies
        );
        longest_log = longest_log.max(world.log.len());
        let phase = world.phase_name();
        *phases.entry(phase).or_insert(0usize) += 1;
        let are_all_answered = world.answered.count_ones() == u32::from(limits.writes);
        complete += usize::from(phase == "release" && are_all_answered);
        for mut successor in successors {
            successor.run_agents_and_leader();
            let mut hasher = DefaultHasher::new();
            successor.hash(&mut hasher);
            if visited.insert(hasher.finish()) {
                pending.push(successor);
            }
        }
        assert!(visited.len() < MAX_STATES, "too many states: {longest_log} {:?}", world.log);
    }
    println!("{phases:?}");
    Explored { states: visited.len(), complete }
}

/// Explores the smallest case, and all cases if `WIDE` is set.
#[test]
fn every_event_order_keeps_answered_writes() {
    let limits = |writes, expirations, kills, stalls| Limits { writes, expirations, kills, stalls };
    let mut cases = vec![limits(1, 0, 0, 0)];
    if std::env::var("WIDE").is_ok() {
        cases.extend([
            limits(1, 0, 0, 1),
            limits(0, 1, 0, 1),
            limits(2, 0, 0, 0),
            limits(1, 1, 0, 0),
            limits(1, 0, 1, 0),
            limits(1, 1, 0, 1),
        ]);
    }
    for limits in cases {
        let Explored { states, complete } = explore(limits);
        assert!(complete > 0);
        println!("{limits:?}: {states} states, {complete} on the target backend with all writes answered");
    }
}
