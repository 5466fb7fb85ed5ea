//! How much a relay sends for subscriptions: what comes all at once is spread, and a second wave is no higher than the first.
mod common;
use cluster_types::Time;
use common::served::{closed, shard, Served};
use config_distribution::{Admission, RelayAction, Settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #[test]
    fn over_any_span_no_more_is_admitted_than_is_saved_up_and_comes_in(
        calls in prop::collection::vec((0u64..200_000, 1usize..3_000), 1..300)
    ) {
        let (rate, most) = (10_000.0, 5_000.0);
        let mut admission = Admission::new(rate, most, Time(0));
        let (mut now, mut taken) = (0u64, vec![]);
        for (pause, bytes) in calls {
            now += pause;
            if admission.admit(Time(now), bytes) {
                taken.push((now, bytes));
            }
        }
        for (n, (from, _)) in taken.iter().enumerate() {
            let mut sum = 0;
            for (to, bytes) in &taken[n..] {
                sum += bytes;
                let bound = most + (to - from) as f64 / 1e6 * rate + 3_000.0;
                prop_assert!(sum as f64 <= bound, "{sum} bytes in {} µs", to - from);
            }
        }
    }
}

#[test]
fn a_clock_that_goes_back_fills_nothing() {
    let mut admission = Admission::new(1_000.0, 1_000.0, Time(5_000_000));
    assert!(admission.admit(Time(5_000_000), 2_000));
    assert!(!admission.admit(Time(1_000_000), 1));
    assert!(!admission.admit(Time(5_900_000), 1));
    assert!(admission.admit(Time(6_100_000), 1));
}

/// A wave of subscribers that each come again until they are taken on; tells the bytes of each second.
fn wave(served: &mut Served, base: u64) -> Vec<usize> {
    let (mut left, mut seconds): (Vec<u64>, BTreeMap<u64, usize>) = ((0..200).collect(), BTreeMap::new());
    let began = served.now.0;
    for turn in 0..600 {
        served.out.clear();
        left.retain(|n| {
            let link = base + n * 1_000 + turn;
            let out = served.join(link, shard(1), 0);
            closed(&out, link).is_some()
        });
        served.wait(100);
        let bytes = |a: &RelayAction| {
            if let RelayAction::Send { message, .. } = a {
                common::bytes(message)
            } else {
                0
            }
        };
        let sent: usize = served.out.iter().map(bytes).sum();
        *seconds.entry((served.now.0 - began) / 1_000_000).or_default() += sent;
        if left.is_empty() {
            break;
        }
    }
    assert_eq!(left.len(), 0, "all are taken on in the end");
    seconds.into_values().collect()
}

#[test]
fn a_second_wave_is_no_higher_than_the_first() {
    let settings = Settings { admission: (100_000.0, 100_000.0), ..Settings::default() };
    let mut served = Served::with(settings);
    (0..4).for_each(|n| drop(served.setting(&format!("s{n}"), &[0; 1_000])));
    let first = wave(&mut served, 1_000_000);
    let second = wave(&mut served, 2_000_000);
    let third = wave(&mut served, 3_000_000);
    let peak = |seconds: &[usize]| seconds.iter().copied().max().unwrap();
    assert!(peak(&second) <= peak(&first) && peak(&third) <= peak(&first), "{first:?} {second:?} {third:?}");
    assert!(first.len() > 4, "all at once would take less");
}
