//! The rate limit for new subscriptions at a relay: it spreads a wave of subscribers over time.
mod common;
use cluster_types::Time;
use common::relay::{close_reason, shard_scope, TestRelay};
use config_distribution::{RateLimit, RelayAction, Settings, TokenBucket};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #[test]
    fn admits_no_more_than_burst_and_rate_over_any_span(
        transfers in prop::collection::vec((0u64..200_000, 1usize..3_000), 1..300)
    ) {
        let (bytes_per_second, burst_bytes) = (10_000.0, 5_000.0);
        let mut bucket = TokenBucket::new(bytes_per_second, burst_bytes, Time(0));
        let (mut now, mut admitted) = (0u64, vec![]);
        for (pause, bytes) in transfers {
            now += pause;
            if bucket.admit(Time(now), bytes) {
                admitted.push((now, bytes));
            }
        }
        for (n, (from, _)) in admitted.iter().enumerate() {
            let mut sum = 0;
            for (to, bytes) in &admitted[n..] {
                sum += bytes;
                let bound = burst_bytes + (to - from) as f64 / 1e6 * bytes_per_second + 3_000.0;
                prop_assert!(sum as f64 <= bound, "{sum} bytes in {} µs", to - from);
            }
        }
    }
}

#[test]
fn clock_going_back_adds_no_tokens() {
    let mut bucket = TokenBucket::new(1_000.0, 1_000.0, Time(5_000_000));
    assert!(bucket.admit(Time(5_000_000), 2_000));
    assert!(!bucket.admit(Time(1_000_000), 1));
    assert!(!bucket.admit(Time(5_900_000), 1));
    assert!(bucket.admit(Time(6_100_000), 1));
}

/// Simulates a wave of subscribers that each retry until they are accepted; returns the bytes sent in each second.
fn run_wave(relay: &mut TestRelay, base: u64) -> Vec<usize> {
    let mut waiting: Vec<u64> = (0..200).collect();
    let mut seconds: BTreeMap<u64, usize> = BTreeMap::new();
    let started = relay.now.0;
    for attempt in 0..600 {
        relay.actions.clear();
        waiting.retain(|n| {
            let connection = base + n * 1_000 + attempt;
            let actions = relay.subscribe(connection, shard_scope(1), 0);
            close_reason(&actions, connection).is_some()
        });
        relay.wait(100);
        let bytes = |action: &RelayAction| {
            if let RelayAction::Send { message, .. } = action {
                common::encoded_size(message)
            } else {
                0
            }
        };
        let sent: usize = relay.actions.iter().map(bytes).sum();
        *seconds.entry((relay.now.0 - started) / 1_000_000).or_default() += sent;
        if waiting.is_empty() {
            break;
        }
    }
    assert_eq!(waiting.len(), 0, "all are eventually accepted");
    seconds.into_values().collect()
}

#[test]
fn later_wave_of_subscribers_peaks_no_higher_than_first() {
    let settings = Settings {
        subscription_rate: RateLimit { bytes_per_second: 100_000.0, burst_bytes: 100_000.0 },
        ..Settings::default()
    };
    let mut relay = TestRelay::with_settings(settings);
    (0..4).for_each(|n| drop(relay.write_setting(&format!("s{n}"), &[0; 1_000])));
    let first = run_wave(&mut relay, 1_000_000);
    let second = run_wave(&mut relay, 2_000_000);
    let third = run_wave(&mut relay, 3_000_000);
    let peak = |seconds: &[usize]| seconds.iter().copied().max().unwrap();
    assert!(peak(&second) <= peak(&first) && peak(&third) <= peak(&first), "{first:?} {second:?} {third:?}");
    assert!(first.len() > 4, "it would take less time without the limit");
}
