//! Tests the limit of the sending rate, and how probes and updates share it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::Time;
use membership::send_budget::SendBudget;
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(7);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of requests, no more is sent than the burst plus the rate times the elapsed time.
    #[test]
    fn never_exceeds_burst_and_rate(requests in prop::collection::vec((0u64..400_000, 1u64..1_500, 0u64..900), 1..200)) {
        let (mut budget, mut now, mut sent) = (SendBudget::new(4_096, 8_192, START), START, 0);
        for (pause, bytes, updates) in requests {
            now = now + Duration::from_micros(pause);
            budget.refill(now);
            let (ready, spare) = (budget.available_at(bytes), budget.available_for_updates(now));
            let updates = updates.min(spare);
            let taken = budget.take(now, bytes, updates);
            prop_assert!(!taken || ready <= now);
            prop_assert!(taken || ready > now || bytes + updates > budget.available(now));
            sent += if taken { bytes + updates } else { 0 };
            prop_assert!(sent as f64 <= 8_192.0 + 4_096.0 * now.since(START).as_secs_f64() + 1.0);
        }
    }
}

#[test]
fn reserves_quarter_for_updates_and_half_of_probe_bucket_for_probes() {
    let mut budget = SendBudget::new(4_096, 8_192, Time(0));
    while budget.take(Time(0), 100, 0) {}
    assert_eq!(budget.available_for_updates(Time(0)), 2_048);
    let mut budget = SendBudget::new(4_096, 8_192, Time(0));
    let spare = budget.available_for_updates(Time(0));
    assert!(budget.take(Time(0), 0, spare));
    assert_eq!((budget.available_for_updates(Time(0)), budget.available(Time(0))), (0, 3_072));
}
