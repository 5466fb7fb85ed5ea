//! A request that can't be served gets its final response at once, with a Retry-After. There is one test for
//! each code path.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

/// Returns the ids of the rejected requests, each of which must have a Retry-After.
fn rejected_with_retry_after(actions: &[Action]) -> Vec<u64> {
    let has_retry_after =
        |a: &Action| !matches!(a, Action::Reject { retry_after, .. } if retry_after.is_none_or(|w| w.0 <= 0));
    assert!(actions.iter().all(has_retry_after), "{actions:?}");
    rejected(actions)
}

/// Creates a gateway whose backend takes 100 ms for a request and has two in flight, which fills its window.
fn busy_gateway(settings: Settings) -> Gateway {
    let mut gateway = Gateway::new(settings);
    gateway.arrive(request(1));
    gateway.end_attempt(1, AttemptOutcome::Ok, 100 * MS);
    gateway.arrive(request(2));
    gateway.arrive(request(3));
    gateway
}

#[test]
fn rejects_late_request_behind_head_of_queue() {
    let mut settings = default_settings();
    settings.classes.push(Class { latency_objective: Micros(400 * MS), ..class() });
    let mut gateway = busy_gateway(settings);
    assert_eq!(gateway.arrive(Request { class: 1, ..request(4) }), vec![]);
    assert_eq!(gateway.arrive(request(5)), vec![]);
    assert_eq!(
        rejected_with_retry_after(&gateway.advance(210 * MS)),
        vec![5],
        "the request ahead of it can wait longer"
    );
    assert_eq!(rejected_with_retry_after(&gateway.advance(210 * MS)), vec![4]);
}

#[test]
fn rejects_requests_whose_backend_is_ejected_past_their_objective() {
    let mut gateway = busy_gateway(Settings { connect_timeout: Micros(4 * SECOND), ..default_settings() });
    assert_eq!(gateway.arrive(request(4)), vec![]);
    let mut actions = gateway.end_attempt(2, AttemptOutcome::ConnectFailed, 20 * MS);
    actions.extend(gateway.end_attempt(3, AttemptOutcome::ConnectFailed, 20 * MS));
    let mut ids = rejected_with_retry_after(&actions);
    ids.sort_unstable();
    assert_eq!(ids, vec![2, 3, 4], "at once, not at the alarm");
}

#[test]
fn rejects_request_blocked_by_its_key_at_its_objective() {
    let mut settings = default_settings();
    settings.classes[0].in_order = true;
    let mut gateway = Gateway::new(settings);
    let keyed = |id| Request { key: Some(KeyId("k".into())), ..request(id) };
    assert_eq!(sent(&gateway.arrive(keyed(1))), vec![1]);
    assert_eq!(gateway.arrive(keyed(2)), vec![]);
    assert_eq!(
        rejected_with_retry_after(&gateway.advance(200 * MS)),
        vec![2],
        "at its objective, not at its deadline"
    );
}

#[test]
fn rejects_request_without_backend_at_its_objective() {
    let mut gateway = Gateway::new(default_settings());
    let gone = BackendEntry { state: BackendState::Gone, ..entry("a", 0) };
    gateway.notify(Event::Endpoints(EndpointUpdate::Delta(vec![gone])));
    assert_eq!(gateway.arrive(request(1)), vec![]);
    assert_eq!(rejected_with_retry_after(&gateway.advance(200 * MS)), vec![1]);
}

#[test]
fn rejects_request_whose_rate_limit_was_used_by_another() {
    let mut settings = default_settings();
    (settings.plans[0].limit_rate, settings.plans[0].limit_burst) = (4.0, 8.0);
    let mut gateway = Gateway::new(settings);
    gateway.advance(450 * MS);
    // The token bucket holds 1.8 units and fills at 4 per second: this request may be sent in 50 ms.
    assert_eq!(gateway.arrive(request(1)), vec![]);
    let other = Request { shard: Some(ShardId(1)), units: 1.0, ..request(2) };
    assert_eq!(sent(&gateway.arrive(other)), vec![2]);
    assert_eq!(rejected_with_retry_after(&gateway.advance(60 * MS)), vec![1], "it would take 250 ms more");
}

#[test]
fn finishes_request_without_attempts_left() {
    let mut settings = default_settings();
    settings.classes[0].idempotency = Idempotency::AtMostOnce;
    let mut gateway = Gateway::new(settings);
    gateway.arrive(request(1));
    assert_eq!(failed(&gateway.end_attempt(1, AttemptOutcome::Reset, 10 * MS)), vec![1]);
    let mut gateway = Gateway::new(Settings { max_attempts: 1, ..default_settings() });
    gateway.arrive(request(1));
    assert_eq!(
        rejected_with_retry_after(&gateway.end_attempt(1, AttemptOutcome::Rejected, 10 * MS)),
        vec![1]
    );
}

#[test]
fn finishes_request_before_its_deduplication_window_closes() {
    let mut settings = default_settings();
    settings.classes[0] = Class {
        idempotency: Idempotency::Deduplicated(DeduplicationScope::Shard),
        deduplication_window: Micros(60 * MS),
        ..class()
    };
    let mut gateway = busy_gateway(settings);
    gateway.advance(20 * MS);
    let mut actions = gateway.end_attempt(2, AttemptOutcome::Reset, 20 * MS);
    actions.extend(gateway.advance(50 * MS));
    assert_eq!(
        gateway.attempts[&2] as usize + failed(&actions).len(),
        2,
        "retried at once or failed in time"
    );
}

#[test]
fn keeps_request_queued_while_still_in_time() {
    let mut gateway = busy_gateway(default_settings());
    assert_eq!(gateway.arrive(request(4)), vec![]);
    assert_eq!(gateway.advance(90 * MS), vec![]);
    assert_eq!(sent(&gateway.end_attempt(2, AttemptOutcome::Ok, 90 * MS)), vec![4]);
}

#[test]
fn responds_before_client_gives_up() {
    let mut gateway = Gateway::new(default_settings());
    update_list(&mut gateway, vec![BackendEntry { state: BackendState::Gone, ..entry("a", 0) }]);
    assert_eq!(gateway.arrive(request(1)), vec![]);
    assert_eq!(rejected(&gateway.advance(2 * SECOND - 1)), vec![1]);
    assert_eq!(gateway.advance(10 * SECOND), vec![], "one final response");
}

#[test]
fn responds_at_once_to_timeout_at_deadline() {
    let mut gateway = Gateway::new(default_settings());
    assert_eq!(sent(&gateway.arrive(request(1))), vec![1]);
    gateway.advance(2 * SECOND);
    assert_eq!(rejected(&gateway.end_attempt(1, AttemptOutcome::Timeout, 2 * SECOND)), vec![1]);
}
