//! Updates of the backend list: their cost depends on the size of the change, and changes lead to the same
//! state as complete lists.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::*;
use std::collections::BTreeMap;
use std::time::Instant;

fn entry_of(n: usize, shard: u32, state: BackendState) -> BackendEntry {
    BackendEntry { state, ..entry(&format!("backend-{n:05}"), shard) }
}

/// Returns the shortest time of many changes of one entry, in microseconds, in a list of `backends` entries.
/// Two backends hold each shard, so that it always has one; the cost of a shard without a backend is not
/// measured here.
fn fastest_change_us(backends: usize) -> f64 {
    let shard = |n: usize| n as u32 / 2;
    let mut gateway = Gateway::new(default_settings());
    let list = (0..backends).map(|n| entry_of(n, shard(n), BackendState::Ready)).collect();
    gateway.notify(Event::Endpoints(EndpointUpdate::Full(list)));
    let mut fastest = f64::INFINITY;
    for turn in 0..600 {
        let state = if turn % 2 == 0 { BackendState::Draining } else { BackendState::Ready };
        let changes = EndpointUpdate::Delta(vec![entry_of(backends / 2, shard(backends / 2), state)]);
        let since = Instant::now();
        gateway.notify(Event::Endpoints(changes));
        fastest = fastest.min(since.elapsed().as_secs_f64() * 1e6);
    }
    fastest
}

#[test]
fn cost_of_change_is_independent_of_list_size() {
    let (few, many) = (fastest_change_us(500), fastest_change_us(16_000));
    println!("{few:.1} µs in a list of 500, {many:.1} µs in one of 16,000");
    assert!(many < 6.0 * few.max(2.0), "{few:.1} and {many:.1} µs");
}

/// Makes one to three random changes, and applies them to the complete list too.
fn random_changes(
    random: &mut SmallRng,
    now: i64,
    complete_list: &mut BTreeMap<usize, BackendEntry>,
) -> Vec<BackendEntry> {
    let mut changes: Vec<BackendEntry> = vec![];
    for _ in 0..random.random_range(1..4) {
        let number = random.random_range(0..12);
        let state = match random.random_range(0..4) {
            0 => BackendState::Draining,
            1 => BackendState::Gone,
            _ => BackendState::Ready,
        };
        let started_at = (random.random_range(0..3) == 0).then_some(Micros(now));
        let new = BackendEntry { started_at, ..entry_of(number, random.random_range(0..6), state) };
        changes.retain(|change| change.backend != new.backend);
        changes.push(new.clone());
        match state {
            BackendState::Gone => drop(complete_list.remove(&number)),
            _ => drop(complete_list.insert(number, new)),
        }
    }
    changes
}

/// Returns whether a request is sent, and to which backend. The attempt is served at once.
fn serve(gateway: &mut Gateway, request: &Request) -> (bool, Option<BackendId>) {
    let id = request.id.0;
    let is_sent = !sent(&gateway.arrive(request.clone())).is_empty();
    let backend = gateway.backends.get(&id).cloned();
    if is_sent {
        gateway.end_attempt(id, AttemptOutcome::Ok, MS);
    }
    (is_sent, backend)
}

#[test]
fn changes_result_in_same_state_as_complete_lists() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let settings = Settings { slow_start: SlowStart::default(), ..default_settings() };
        let mut by_changes = Gateway::seeded(settings.clone(), seed);
        let mut by_lists = Gateway::seeded(settings, seed);
        let mut list: BTreeMap<usize, BackendEntry> = BTreeMap::new();
        let mut id = 0;
        for step in 0..60 {
            by_changes.advance(SECOND);
            by_lists.advance(SECOND);
            let changes = random_changes(&mut random, by_changes.now, &mut list);
            let complete = EndpointUpdate::Full(list.values().cloned().collect());
            let update = if step == 0 { complete.clone() } else { EndpointUpdate::Delta(changes) };
            by_changes.notify(Event::Endpoints(update));
            by_lists.notify(Event::Endpoints(complete));
            for shard in 0..6 {
                id += 1;
                let request = Request { shard: Some(ShardId(shard)), ..request(id) };
                let (sent_by_changes, first) = serve(&mut by_changes, &request);
                let (sent_by_lists, second) = serve(&mut by_lists, &request);
                assert_eq!(sent_by_changes, sent_by_lists, "seed {seed}, step {step}, shard {shard}");
                for backend in [first, second].into_iter().flatten() {
                    let is_listed = list.values().any(|entry| {
                        entry.backend == backend
                            && entry.state == BackendState::Ready
                            && entry.shard.0 == shard
                    });
                    assert!(is_listed, "seed {seed}, step {step}, shard {shard}");
                }
            }
        }
    }
}

#[test]
fn draining_backend_is_replaced_by_successor() {
    let mut gateway = Gateway::new(default_settings());
    update_list(&mut gateway, vec![BackendEntry { state: BackendState::Draining, ..entry("a", 0) }]);
    assert_eq!(sent(&gateway.arrive(request(1))), Vec::<u64>::new());
    let actions = update_list(
        &mut gateway,
        vec![BackendEntry { started_at: Some(Micros(90 * SECOND)), ..entry("c", 0) }],
    );
    assert_eq!(sent(&actions), vec![1]);
    assert_eq!(gateway.backends[&1], BackendId("c".into()));
}
