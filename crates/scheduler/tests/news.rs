//! News of the list: what a change costs does not grow with the list, and changes come to what the whole list says.
mod common;
use common::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::*;
use std::collections::BTreeMap;
use std::time::Instant;

fn named(n: usize, shard: u32, state: NodeState) -> NodeEntry {
    NodeEntry { state, ..entry(&format!("node-{n:05}"), shard) }
}

/// The quickest of many changes of one entry in a list of so many (µs). Two nodes hold each shard, so that none is ever left
/// without: what that costs besides is no part of this.
fn change(nodes: usize) -> f64 {
    let shard = |n: usize| n as u32 / 2;
    let mut host = Host::new(settings());
    let list = (0..nodes).map(|n| named(n, shard(n), NodeState::Ready)).collect();
    host.tell(Event::List(ListNews::Full(list)));
    let mut quickest = f64::INFINITY;
    for turn in 0..600 {
        let state = if turn % 2 == 0 { NodeState::Draining } else { NodeState::Ready };
        let news = ListNews::Delta(vec![named(nodes / 2, shard(nodes / 2), state)]);
        let since = Instant::now();
        host.tell(Event::List(news));
        quickest = quickest.min(since.elapsed().as_secs_f64() * 1e6);
    }
    quickest
}

#[test]
fn a_change_costs_the_same_whatever_the_list_holds() {
    let (few, many) = (change(500), change(16_000));
    println!("{few:.1} µs in a list of 500, {many:.1} µs in one of 16,000");
    assert!(many < 6.0 * few.max(2.0), "{few:.1} and {many:.1} µs");
}

#[test]
fn changes_come_to_what_the_whole_list_says() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let calm = Settings { cold: ColdRule::default(), ..settings() };
        let (mut changed, mut whole) = (Host::seeded(calm.clone(), seed), Host::seeded(calm, seed));
        let mut list: BTreeMap<usize, NodeEntry> = BTreeMap::new();
        let mut next = 0;
        for step in 0..60 {
            changed.pass(S);
            whole.pass(S);
            let mut news = vec![];
            for _ in 0..random.random_range(1..4) {
                let n = random.random_range(0..12);
                let state = match random.random_range(0..4) {
                    0 => NodeState::Draining,
                    1 => NodeState::Gone,
                    _ => NodeState::Ready,
                };
                let started = (random.random_range(0..3) == 0).then_some(Micros(changed.now));
                let new = NodeEntry { started, ..named(n, random.random_range(0..6), state) };
                news.retain(|e: &NodeEntry| e.node != new.node);
                news.push(new.clone());
                match state {
                    NodeState::Gone => drop(list.remove(&n)),
                    _ => drop(list.insert(n, new)),
                }
            }
            if step == 0 {
                changed.tell(Event::List(ListNews::Full(list.values().cloned().collect())));
            } else {
                changed.tell(Event::List(ListNews::Delta(news)));
            }
            whole.tell(Event::List(ListNews::Full(list.values().cloned().collect())));
            for shard in 0..6 {
                next += 1;
                let ask = Request { shard: Some(ShardId(shard)), ..request(next) };
                let to = |host: &mut Host| {
                    let sent = !sent(&host.arrive(ask.clone())).is_empty();
                    let node = host.nodes.get(&next).cloned();
                    if sent {
                        host.end(next, Ending::Ok, MS);
                    }
                    (sent, node)
                };
                let (by_changes, by_list) = (to(&mut changed), to(&mut whole));
                assert_eq!(by_changes.0, by_list.0, "seed {seed}, step {step}, shard {shard}");
                let ready = |node: &Option<NodeId>| {
                    node.as_ref().is_none_or(|node| {
                        list.values()
                            .any(|e| e.node == *node && e.state == NodeState::Ready && e.shard.0 == shard)
                    })
                };
                assert!(ready(&by_changes.1) && ready(&by_list.1), "seed {seed}, step {step}, shard {shard}");
            }
        }
    }
}
