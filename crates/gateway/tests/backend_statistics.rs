//! Statistics of a backend.
#![allow(clippy::unwrap_used)]
use gateway::backend::statistics::BackendStatistics;
use scheduler::interface::{AttemptOutcome, Micros};
use std::rc::Rc;

#[test]
fn steady_rate_is_exact_and_decays_once_it_ends() {
    let statistics = Rc::new(BackendStatistics::default());
    statistics.is_enabled.set(true);
    let volume: Rc<str> = "a".into();
    for i in 0..600 {
        statistics.ended(Micros(i * 100_000), AttemptOutcome::Ok, &volume, 2);
    }
    let rate = statistics.rates(Micros(60_000_000))[&volume];
    assert!((19_000..=21_000).contains(&rate), "20 units a second, told {rate}");
    assert!(statistics.rates(Micros(70_000_000))[&volume] <= rate / 2 + 1);
    assert!(statistics.rates(Micros(400_000_000)).is_empty(), "forgotten");
}

#[test]
fn attempt_is_in_flight_until_its_guard_is_dropped() {
    let statistics = Rc::new(BackendStatistics::default());
    let (one, two) = (statistics.begin(), statistics.begin());
    statistics.sent(Micros(5));
    assert_eq!((statistics.in_flight(), statistics.last_sent()), (2, Some(Micros(5))));
    drop((one, two));
    assert_eq!(statistics.in_flight(), 0);
}
