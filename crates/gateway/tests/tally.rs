//! What a front measures of a server.
#![allow(clippy::unwrap_used)]
#[path = "../src/backend/statistics.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod tally;

use scheduler::interface::{AttemptOutcome, Micros};
use std::rc::Rc;
use tally::BackendStatistics;

#[test]
fn a_steady_rate_is_told_as_it_is_and_fades_once_it_ends() {
    let tally = Rc::new(BackendStatistics::default());
    tally.on.set(true);
    let volume: Rc<str> = "a".into();
    for i in 0..600 {
        tally.ended(Micros(i * 100_000), AttemptOutcome::Ok, &volume, 2);
    }
    let rate = tally.rates(Micros(60_000_000))[&volume];
    assert!((19_000..=21_000).contains(&rate), "20 units a second, told {rate}");
    assert!(tally.rates(Micros(70_000_000))[&volume] <= rate / 2 + 1);
    assert!(tally.rates(Micros(400_000_000)).is_empty(), "forgotten");
}

#[test]
fn an_attempt_is_out_for_as_long_as_its_guard_lives() {
    let tally = Rc::new(BackendStatistics::default());
    let (one, two) = (tally.begin(), tally.begin());
    tally.sent(Micros(5));
    assert_eq!(tally.out(), (2, Some(Micros(5))));
    drop((one, two));
    assert_eq!(tally.out().0, 0);
}
