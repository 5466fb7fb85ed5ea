//! What one change costs: a front by its own size, a relay by its subscribers. Spans are the least of five, and compared
//! with a wide margin, for the machine may be busy.
mod common;
use cluster_types::Index;
use common::served::{shard, Served};
use common::{change, Front};
use config_distribution::{Class, FromRelay, Topic};
use std::time::{Duration, Instant};

#[test]
fn what_a_change_costs_a_front_is_by_the_change_and_not_by_what_it_holds() {
    let apart = |keys: u64| {
        let mut front = Front::fresh();
        front.connect();
        front.snapshot((0..keys).map(|n| change(&format!("k{n}"), n + 1, Some("value"))).collect(), keys);
        front.decide();
        let mut upto = keys;
        let least = (0..5).map(|_| {
            let began = Instant::now();
            for n in 0..200 {
                let changes = vec![change(&format!("k{n}"), upto + 1, Some("other"))];
                front.say(FromRelay::Changes { from: Index(upto), upto: Index(upto + 1), changes });
                front.decide();
                upto += 1;
            }
            began.elapsed()
        });
        least.min().unwrap_or_default()
    };
    let (few, many) = (apart(200), apart(20_000));
    assert!(many < few * 4 + Duration::from_millis(5), "{few:?} with 200 keys, {many:?} with 20,000");
}

#[test]
fn what_a_change_costs_is_by_subscribers_and_not_by_keys() {
    let apart = |keys: u32| {
        let mut served = Served::new();
        for n in 0..keys {
            served.order(Class::Configuration, Topic::Shard(n), "box", Some(b"x"));
        }
        (0..50).for_each(|link| drop(served.join(link, shard(1), u64::from(keys))));
        let least = (0..5).map(|_| {
            let began = Instant::now();
            for _ in 0..20 {
                served.primary();
                (0..50).for_each(|link| drop(served.decided(link, served.version)));
            }
            began.elapsed()
        });
        least.min().unwrap_or_default()
    };
    let (few, many) = (apart(500), apart(50_000));
    assert!(many < few * 4 + Duration::from_millis(5), "{few:?} with 500 keys, {many:?} with 50,000");
}
