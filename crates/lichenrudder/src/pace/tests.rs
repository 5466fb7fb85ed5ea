//! All that may lie between a change and its being told, in sum.
use super::*;

/// What counts as told, whatever became of calls.
const TOLD: i64 = 6_000_000;
/// What is left for a call that discovery answers in its turn.
const TURN: i64 = 1_200_000;

#[test]
fn a_silent_watch_and_a_silent_call_leave_time_for_one_that_is_answered() {
    for seed in 0..500 {
        let mut backoff = Backoff::new(seed);
        let called = LIVENESS + backoff.pause();
        assert!(called > 2_600_000, "a heartbeat may be late");
        let beside = called + BESIDE;
        assert!(beside + TURN <= TOLD, "seed {seed}: {beside}");
    }
}

#[test]
fn after_any_outage_a_lost_call_and_a_silent_one_leave_time_for_one_that_is_answered() {
    for seed in 0..500 {
        let mut backoff = Backoff::new(seed);
        for failures in 0..40 {
            // Discovery can be reached again in the instant after a call that failed, or was lost.
            let pause = backoff.pause();
            assert!(pause >= PAUSE / 2, "seed {seed}, {failures}: hundreds come back at once, {pause}");
            assert!(pause.max(BESIDE) + BESIDE + TURN <= TOLD, "seed {seed}, {failures}: {pause}");
        }
        backoff.answered();
        assert!(backoff.pause() < PAUSE, "an answer ends it");
    }
}

#[test]
fn pauses_double_and_differ_from_front_to_front() {
    let pauses = |seed| -> Vec<i64> {
        let mut backoff = Backoff::new(seed);
        (0..6).map(|_| backoff.pause()).collect()
    };
    for (n, pause) in pauses(7).into_iter().enumerate() {
        let most = PAUSE << n.min(DOUBLED as usize);
        assert!((most / 2..most).contains(&pause), "{n}: {pause}");
    }
    assert_ne!(pauses(1), pauses(2));
}
