//! Retries: by idempotency, within the budget, and in order by key; and recognition of the clients' own
//! retries.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

#[test]
fn fails_at_most_once_request_that_may_have_run() {
    let mut settings = default_settings();
    settings.classes[0].idempotency = Idempotency::AtMostOnce;
    let mut gateway = Gateway::new(settings);
    gateway.arrive(request(1));
    assert_eq!(failed(&gateway.end_attempt(1, AttemptOutcome::Reset, 10 * MS)), vec![1]);
    assert_eq!((gateway.attempts[&1], failed(&gateway.advance(2 * SECOND))), (1, vec![]));
    gateway.arrive(request(2));
    gateway.end_attempt(2, AttemptOutcome::ConnectFailed, 10 * MS);
    gateway.advance(SECOND);
    assert_eq!(gateway.attempts[&2], 2, "an attempt that was not executed may be retried");
}

#[test]
fn retries_deduplicated_request_only_within_its_window() {
    for (elapsed, attempts, failures) in [(100 * MS, 2, vec![]), (1100 * MS, 1, vec![1])] {
        let mut settings = default_settings();
        settings.classes[0].idempotency = Idempotency::Deduplicated(DeduplicationScope::Shard);
        let mut gateway = Gateway::new(settings);
        gateway.arrive(request(1));
        gateway.advance(elapsed);
        let mut actions = gateway.end_attempt(1, AttemptOutcome::Reset, elapsed);
        actions.extend(gateway.advance(300 * MS));
        assert_eq!((gateway.attempts[&1], failed(&actions)), (attempts, failures));
    }
}

#[test]
fn sends_requests_of_one_key_in_order_without_blocking_others() {
    let mut settings = default_settings();
    settings.classes[0].in_order = true;
    settings.ordering_pause = Micros(50 * MS);
    let mut gateway = Gateway::new(settings);
    let keyed = |id, key: &str| Request { key: Some(KeyId(key.into())), ..request(id) };
    assert_eq!(sent(&gateway.arrive(keyed(1, "k"))), vec![1]);
    assert_eq!(sent(&gateway.arrive(keyed(2, "k"))), Vec::<u64>::new());
    assert_eq!(sent(&gateway.arrive(keyed(3, "other"))), vec![3]);
    gateway.notify(Event::ClientLeft(RequestId(1)));
    assert_eq!(gateway.attempts.get(&2), None, "the first attempt has no outcome yet");
    gateway.end_attempt(1, AttemptOutcome::Cancelled, 10 * MS);
    assert_eq!(gateway.attempts.get(&2), None, "the key is blocked for the ordering pause");
    assert_eq!(sent(&gateway.advance(51 * MS)), vec![2]);
}

#[test]
fn limits_retries_to_retry_budget() {
    let mut settings = default_settings();
    settings.retry_budget =
        Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.1, window: Micros(5 * SECOND) });
    settings.max_attempts = 100;
    let mut gateway = Gateway::new(settings);
    gateway.arrive(request(1));
    for _ in 0..10 {
        if gateway.attempts[&1] <= 2 && gateway.now < 101 * SECOND {
            gateway.end_attempt(1, AttemptOutcome::ConnectFailed, MS);
            gateway.advance(150 * MS);
        }
    }
    assert_eq!(gateway.attempts[&1], 2);
}

#[test]
fn does_not_treat_short_timeout_as_client_retry() {
    let mut gateway = Gateway::new(default_settings());
    gateway.arrive(request(1));
    gateway.end_attempt(1, AttemptOutcome::Ok, 20 * MS);
    for id in 2..20 {
        let actions = gateway.arrive(Request { timeout: Micros(150 * MS), ..request(id) });
        assert_eq!(sent(&actions), vec![id]);
        gateway.end_attempt(id, AttemptOutcome::Ok, 20 * MS);
    }
}

#[test]
fn recognizes_client_retry_by_key_and_deadline() {
    let retry_after_rejection = |key: &str| {
        let mut gateway = Gateway::new(Settings { max_attempts: 1, ..default_settings() });
        gateway.arrive(Request { key: Some(KeyId("k".into())), ..request(1) });
        gateway.advance(150 * MS);
        assert_eq!(rejected(&gateway.end_attempt(1, AttemptOutcome::Error, 20 * MS)), vec![1]);
        gateway.advance(60 * MS);
        let key = Some(KeyId(key.into()));
        gateway.arrive(Request { key, timeout: Micros(2 * SECOND - 210 * MS), ..request(2) })
    };
    assert_eq!(rejected(&retry_after_rejection("k")), vec![2]);
    assert_eq!(sent(&retry_after_rejection("other")), vec![2]);
}
