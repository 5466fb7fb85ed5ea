//! The cost of a change depends on its size at a subscriber, and on the number of subscribers at a relay, but not on the
//! number of keys. Times are the minimum of five runs, compared with a wide margin because the machine may be busy.
mod common;
use cluster_types::Index;
use common::relay::{shard_scope, TestRelay};
use common::{change, TestHost};
use config_distribution::{Class, RelayMessage, Topic};
use std::time::{Duration, Instant};

#[test]
fn cost_at_subscriber_does_not_grow_with_held_keys() {
    let minimum_time = |keys: u64| {
        let mut host = TestHost::new();
        host.connect();
        host.receive_snapshot(
            (0..keys).map(|n| change(&format!("k{n}"), n + 1, Some("value"))).collect(),
            keys,
        );
        host.accept();
        let mut up_to = keys;
        let times = (0..5).map(|_| {
            let started = Instant::now();
            for n in 0..200 {
                let changes = vec![change(&format!("k{n}"), up_to + 1, Some("other"))];
                host.receive(RelayMessage::Changes { from: Index(up_to), up_to: Index(up_to + 1), changes });
                host.accept();
                up_to += 1;
            }
            started.elapsed()
        });
        times.min().unwrap_or_default()
    };
    let (few, many) = (minimum_time(200), minimum_time(20_000));
    assert!(many < few * 4 + Duration::from_millis(5), "{few:?} with 200 keys, {many:?} with 20,000");
}

#[test]
fn cost_at_relay_does_not_grow_with_keys() {
    let minimum_time = |keys: u32| {
        let mut relay = TestRelay::new();
        for n in 0..keys {
            relay.write(Class::Configuration, Topic::Shard(n), "box", Some(b"x"));
        }
        (0..50).for_each(|connection| drop(relay.subscribe(connection, shard_scope(1), u64::from(keys))));
        let times = (0..5).map(|_| {
            let started = Instant::now();
            for _ in 0..20 {
                relay.write_primary();
                (0..50).for_each(|connection| drop(relay.acknowledge(connection, relay.version)));
            }
            started.elapsed()
        });
        times.min().unwrap_or_default()
    };
    let (few, many) = (minimum_time(500), minimum_time(50_000));
    assert!(many < few * 4 + Duration::from_millis(5), "{few:?} with 500 keys, {many:?} with 50,000");
}
