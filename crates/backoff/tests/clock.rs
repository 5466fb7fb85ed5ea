//! All that may lie between a change and its being told, in sum, for any number of callers and whatever failed before.
use backoff::{Caller, Failure, Law, BESIDE, LIVENESS, TOLD, TURN};

const FLEETS: [u32; 6] = [1, 6, 30, 300, 2_300, 100_000];
const FAILURES: [Failure; 4] = [Failure::Down, Failure::Overbooked, Failure::Ended, Failure::Silent];

fn each(mut test: impl FnMut(u32, u64)) {
    for fleet in FLEETS {
        (0..200).for_each(|seed| test(fleet, seed));
    }
}

/// A caller whose watch has been up for a long time.
fn watching(fleet: u32, seed: u64) -> Caller {
    let mut caller = Caller::new(Law::fleet(fleet), seed, 0);
    caller.call(0);
    caller.up(0);
    caller
}

#[test]
fn a_silent_watch_and_a_silent_call_leave_time_for_one_that_is_answered() {
    each(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        let (silent_since, noticed) = (100_000_000, 100_000_000 + LIVENESS);
        caller.ended(noticed, Failure::Silent);
        let called = caller.due().unwrap();
        assert!(called > noticed, "a heartbeat may be late");
        caller.call(called);
        let beside = caller.due().unwrap();
        assert!(beside + TURN <= silent_since + TOLD, "fleet {fleet}, seed {seed}: {beside}");
    });
}

#[test]
fn after_any_outage_a_silent_call_leaves_time_for_one_that_is_answered() {
    each(|fleet, seed| {
        for failure in FAILURES {
            let mut caller = watching(fleet, seed);
            let mut now = 10_000_000;
            caller.ended(now, Failure::Ended);
            for _ in 0..60 {
                // The service can be reached again in the instant after a call that failed.
                let back = now;
                now = caller.due().unwrap();
                let mut lost = caller.clone();
                lost.call(now);
                let answered = lost.due().unwrap();
                assert!(
                    answered + TURN <= back + TOLD,
                    "fleet {fleet}, seed {seed}, {failure:?}: {answered}"
                );
                let number = caller.call(now).number;
                now += 300;
                caller.failed(now, number, failure);
            }
        }
    });
}

#[test]
fn a_call_turned_away_late_leaves_time_for_another() {
    each(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        caller.ended(10_000_000, Failure::Ended);
        let mut now = caller.due().unwrap();
        for _ in 0..60 {
            let called = now;
            let number = caller.call(now).number;
            // It has waited as long as a call is waited for, and the service could be reached all the while.
            caller.failed(called + BESIDE - 1, number, Failure::Overbooked);
            now = caller.due().unwrap();
            assert!(now + BESIDE + TURN <= called + TOLD, "fleet {fleet}, seed {seed}: {}", now - called);
            assert!(now > called + BESIDE, "at once, by all");
        }
    });
}

#[test]
fn silent_calls_are_not_waited_out() {
    each(|fleet, seed| {
        let mut caller = Caller::new(Law::fleet(fleet), seed, 0);
        let first = caller.call(0);
        let second = caller.due().unwrap();
        assert_eq!(caller.call(second).instead_of, None, "the first keeps its place in the service's turn");
        let third = caller.due().unwrap();
        assert!(third + TURN <= TOLD, "fleet {fleet}: {third}");
        assert_eq!(caller.call(third).instead_of, Some(first.number));
    });
}

#[test]
fn an_overbooked_service_is_left_in_peace_and_one_that_is_down_is_tried_soon() {
    each(|fleet, seed| {
        let mut caller = watching(fleet, seed);
        caller.ended(0, Failure::Ended);
        let now = caller.due().unwrap();
        let number = caller.call(now).number;
        let mut down = caller.clone();
        caller.failed(now, number, Failure::Overbooked);
        assert!(caller.due().unwrap() >= now + BESIDE / 2, "fleet {fleet}: there is no room sooner");
        down.failed(now, number, Failure::Down);
        let soon = 2 * (10_000 * i64::from(fleet)).clamp(200_000, BESIDE);
        assert!(down.due().unwrap() <= now + soon, "fleet {fleet}: it may be back");
    });
}

#[test]
fn pauses_fill_their_windows_and_differ_from_caller_to_caller() {
    for failure in FAILURES {
        let law = Law::fleet(30);
        let (from, to) = law.window(failure, 3);
        let pauses: Vec<i64> = (0..2_000)
            .map(|seed| {
                let mut caller = watching(30, seed);
                caller.ended(0, Failure::Ended);
                for _ in 0..3 {
                    let number = caller.call(0).number;
                    caller.failed(0, number, failure);
                }
                let number = caller.call(0).number;
                caller.failed(0, number, failure);
                caller.due().unwrap()
            })
            .collect();
        let (least, most) = (*pauses.iter().min().unwrap(), *pauses.iter().max().unwrap());
        assert!(from <= least && most < to, "{failure:?}: {least} to {most}, not in {from} to {to}");
        let tenth = (to - from) / 10;
        for part in 0..10 {
            let begin = from + part * tenth;
            let within = pauses.iter().filter(|p| (begin..begin + tenth).contains(p)).count();
            assert!((140..=260).contains(&within), "{failure:?}: {within} of 2000 in part {part}");
        }
    }
}

#[test]
fn watches_that_end_at_once_are_asked_for_more_and_more_rarely() {
    let mut caller = Caller::new(Law::fleet(6), 7, 0);
    let (mut now, mut pauses) = (0, vec![]);
    for _ in 0..60 {
        caller.call(now);
        caller.up(now);
        caller.ended(now + 1_000, Failure::Ended);
        pauses.push(caller.due().unwrap() - now - 1_000);
        now = caller.due().unwrap();
    }
    let mean = |part: &[i64]| part.iter().sum::<i64>() / part.len() as i64;
    assert!(mean(&pauses[..1]) < 200_000 && mean(&pauses[10..]) > 1_000_000, "{pauses:?}");
    // One that lasted begins anew.
    caller.call(now);
    caller.up(now);
    caller.ended(now + 60_000_000, Failure::Ended);
    assert!(caller.due().unwrap() - now - 60_000_000 < 200_000);
}

#[test]
fn what_was_given_up_changes_nothing() {
    let mut caller = Caller::new(Law::fleet(6), 7, 0);
    let first = caller.call(0).number;
    caller.call(1_000_000);
    caller.call(2_000_000);
    let due = caller.due();
    caller.failed(2_000_001, first, Failure::Down);
    assert_eq!(caller.due(), due);
    caller.up(3_000_000);
    assert_eq!(caller.due(), None);
    caller.moved(4_000_000);
    assert!(caller.due().unwrap() < 4_200_000);
}
