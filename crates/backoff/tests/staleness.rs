//! The staleness bound: the sum of all delays between a change and its notification, for any number of callers and
//! any earlier failures.
use backoff::{
    BackoffPolicy, Caller, Failure, PauseWindow, HEDGE_DELAY_US, IDLE_TIMEOUT_US, MAX_RESPONSE_US,
    MAX_STALENESS_US,
};

const FLEET_SIZES: [u32; 6] = [1, 6, 30, 300, 2_300, 100_000];
const FAILURES: [Failure; 4] = [Failure::Down, Failure::Overloaded, Failure::Ended, Failure::Silent];

/// Runs a test for each fleet size with 200 seeds.
fn for_each_fleet_and_seed(mut test: impl FnMut(u32, u64)) {
    for fleet in FLEET_SIZES {
        (0..200).for_each(|seed| test(fleet, seed));
    }
}

/// A caller with a watch that was established long ago.
fn watching(fleet: u32, seed: u64) -> Caller {
    let mut caller = Caller::new(BackoffPolicy::for_callers(fleet), seed, 0);
    caller.start_call(0);
    caller.watch_established(0);
    caller
}

#[test]
fn silent_watch_and_silent_call_leave_time_for_response() {
    for_each_fleet_and_seed(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        let (silent_since, detected_at) = (100_000_000, 100_000_000 + IDLE_TIMEOUT_US);
        caller.watch_ended(detected_at, Failure::Silent);
        let called_at = caller.next_call_at().unwrap();
        assert!(called_at > detected_at, "a heartbeat may be late");
        caller.start_call(called_at);
        let hedged_at = caller.next_call_at().unwrap();
        assert!(
            hedged_at + MAX_RESPONSE_US <= silent_since + MAX_STALENESS_US,
            "fleet {fleet}, seed {seed}: {hedged_at}"
        );
    });
}

#[test]
fn silent_call_after_outage_leaves_time_for_response() {
    for_each_fleet_and_seed(|fleet, seed| {
        for failure in FAILURES {
            let mut caller = watching(fleet, seed);
            let mut now = 10_000_000;
            caller.watch_ended(now, Failure::Ended);
            for _ in 0..60 {
                // The service recovers just after a failed call.
                let recovered_at = now;
                now = caller.next_call_at().unwrap();
                let mut without_response = caller.clone();
                without_response.start_call(now);
                let hedged_at = without_response.next_call_at().unwrap();
                assert!(
                    hedged_at + MAX_RESPONSE_US <= recovered_at + MAX_STALENESS_US,
                    "fleet {fleet}, seed {seed}, {failure:?}: {hedged_at}"
                );
                let number = caller.start_call(now).number;
                now += 300;
                caller.call_failed(now, number, failure);
            }
        }
    });
}

#[test]
fn call_rejected_late_leaves_time_for_another() {
    for_each_fleet_and_seed(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        caller.watch_ended(10_000_000, Failure::Ended);
        let mut now = caller.next_call_at().unwrap();
        for _ in 0..60 {
            let called_at = now;
            let number = caller.start_call(now).number;
            // The call waited for almost the hedge delay, while the service was available.
            caller.call_failed(called_at + HEDGE_DELAY_US - 1, number, Failure::Overloaded);
            now = caller.next_call_at().unwrap();
            assert!(
                now + HEDGE_DELAY_US + MAX_RESPONSE_US <= called_at + MAX_STALENESS_US,
                "fleet {fleet}, seed {seed}: {}",
                now - called_at
            );
            assert!(now > called_at + HEDGE_DELAY_US, "callers must not retry at once");
        }
    });
}

#[test]
fn hedges_silent_calls() {
    for_each_fleet_and_seed(|fleet, seed| {
        let mut caller = Caller::new(BackoffPolicy::for_callers(fleet), seed, 0);
        let first = caller.start_call(0);
        let second = caller.next_call_at().unwrap();
        assert_eq!(
            caller.start_call(second).replaces,
            None,
            "the first call keeps its place in the service's queue"
        );
        let third = caller.next_call_at().unwrap();
        assert!(third + MAX_RESPONSE_US <= MAX_STALENESS_US, "fleet {fleet}: {third}");
        assert_eq!(caller.start_call(third).replaces, Some(first.number));
    });
}

#[test]
fn pauses_longer_for_overloaded_than_for_unreachable_service() {
    for_each_fleet_and_seed(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        caller.watch_ended(0, Failure::Ended);
        let now = caller.next_call_at().unwrap();
        let number = caller.start_call(now).number;
        let mut down = caller.clone();
        caller.call_failed(now, number, Failure::Overloaded);
        assert!(
            caller.next_call_at().unwrap() >= now + HEDGE_DELAY_US / 2,
            "fleet {fleet}: an earlier call would be rejected"
        );
        down.call_failed(now, number, Failure::Down);
        let max_pause_us = 2 * (10_000 * i64::from(fleet)).clamp(200_000, HEDGE_DELAY_US);
        assert!(
            down.next_call_at().unwrap() <= now + max_pause_us,
            "fleet {fleet}: the service may have recovered"
        );
    });
}

#[test]
fn pauses_are_uniform_over_their_window() {
    for failure in FAILURES {
        let policy = BackoffPolicy::for_callers(30);
        let PauseWindow { start_us, end_us } = policy.pause_window(failure, 3);
        let pauses: Vec<i64> = (0..2_000)
            .map(|seed| {
                let mut caller = watching(30, seed);
                caller.watch_ended(0, Failure::Ended);
                for _ in 0..3 {
                    let number = caller.start_call(0).number;
                    caller.call_failed(0, number, failure);
                }
                let number = caller.start_call(0).number;
                caller.call_failed(0, number, failure);
                caller.next_call_at().unwrap()
            })
            .collect();
        let (least, most) = (*pauses.iter().min().unwrap(), *pauses.iter().max().unwrap());
        assert!(
            start_us <= least && most < end_us,
            "{failure:?}: {least} to {most}, not in {start_us} to {end_us}"
        );
        let tenth = (end_us - start_us) / 10;
        for part in 0..10 {
            let begin = start_us + part * tenth;
            let within = pauses.iter().filter(|p| (begin..begin + tenth).contains(p)).count();
            assert!((140..=260).contains(&within), "{failure:?}: {within} of 2000 in part {part}");
        }
    }
}

#[test]
fn backs_off_from_watches_that_end_at_once() {
    let mut caller = Caller::new(BackoffPolicy::for_callers(6), 7, 0);
    let (mut now, mut pauses) = (0, vec![]);
    for _ in 0..60 {
        caller.start_call(now);
        caller.watch_established(now);
        caller.watch_ended(now + 1_000, Failure::Ended);
        pauses.push(caller.next_call_at().unwrap() - now - 1_000);
        now = caller.next_call_at().unwrap();
    }
    let mean = |part: &[i64]| part.iter().sum::<i64>() / part.len() as i64;
    assert!(mean(&pauses[..1]) < 200_000 && mean(&pauses[10..]) > 1_000_000, "{pauses:?}");
    // A watch that lasted resets the pauses.
    caller.start_call(now);
    caller.watch_established(now);
    caller.watch_ended(now + 60_000_000, Failure::Ended);
    assert!(caller.next_call_at().unwrap() - now - 60_000_000 < 200_000);
}

#[test]
fn ignores_failure_of_abandoned_call() {
    let mut caller = Caller::new(BackoffPolicy::for_callers(6), 7, 0);
    let first = caller.start_call(0).number;
    caller.start_call(1_000_000);
    caller.start_call(2_000_000);
    let due = caller.next_call_at();
    caller.call_failed(2_000_001, first, Failure::Down);
    assert_eq!(caller.next_call_at(), due);
    caller.watch_established(3_000_000);
    assert_eq!(caller.next_call_at(), None);
    caller.service_replaced(4_000_000);
    assert!(caller.next_call_at().unwrap() < 4_200_000);
}
