//! One move, gone through in every order: two fronts, one block, two bookings, lapsing leases, a front that stalls
//! right before it sends, and a kill. In each state each front is asked where it would read.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod ends;
mod world;

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use world::World;

fn explore(bookings: u8, passes: u8, kills: u8, stalls: u8) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut todo = vec![World::start(bookings, passes, kills, stalls)];
    let (mut ended, mut most) = (0, 0);
    let mut phases = BTreeMap::new();
    while let Some(world) = todo.pop() {
        let mut bad: Vec<String> = world.looks().err().into_iter().collect();
        let next = world.next(&mut bad);
        assert!(bad.is_empty(), "{bad:?}\n{:?}\n{:?} {:?}", world.log, world.bookings, world.copies);
        most = most.max(world.log.len());
        let phase = world.head.active.values().next().map_or("none", |m| m.phase.name());
        *phases.entry(phase).or_insert(0usize) += 1;
        ended += usize::from(phase == "release" && world.answered.count_ones() == u32::from(bookings));
        let world_log = world.log.clone();
        for mut world in next {
            world.settle();
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                todo.push(world);
            }
        }
        assert!(seen.len() < 3_000_000, "too many states: {most} {:?}", world_log);
    }
    println!("{phases:?}");
    (seen.len(), ended)
}

#[test]
fn every_order_of_one_move() {
    let wide = std::env::var("WIDE").is_ok();
    let mut cases = vec![(1, 0, 0, 0)];
    if wide {
        cases.extend([(1, 0, 0, 1), (0, 1, 0, 1), (2, 0, 0, 0), (1, 1, 0, 0), (1, 0, 1, 0), (1, 1, 0, 1)]);
    }
    for (bookings, passes, kills, stalls) in cases {
        let (states, ended) = explore(bookings, passes, kills, stalls);
        assert!(ended > 0);
        println!("{bookings} {passes} {kills} {stalls}: {states} states, {ended} at the new place with all bookings answered");
    }
}
