//! Invalid settings are reported by name, and malformed or unexpected events are rejected or ignored.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;
use scheduler::Scheduler;

#[test]
fn ignores_or_rejects_unexpected_events() {
    let mut gateway = Gateway::new(default_settings());
    assert_eq!(rejected(&gateway.arrive(Request { class: 9, ..request(1) })), vec![1]);
    assert_eq!(rejected(&gateway.arrive(Request { plan: 9, ..request(2) })), vec![2]);
    assert_eq!(rejected(&gateway.arrive(Request { units: f64::NAN, ..request(3) })), vec![3]);
    assert_eq!(sent(&gateway.arrive(Request { volume_gateways: 0, ..request(4) })), vec![4]);
    gateway.arrive(Request { shard: Some(ShardId(77)), ..request(5) });
    assert_eq!(gateway.notify(Event::ClientLeft(RequestId(99))), vec![]);
    assert_eq!(gateway.notify(Event::TimerFired(12345)), vec![]);
    gateway.end_attempt(4, AttemptOutcome::Ok, MS);
    assert_eq!(gateway.end_attempt(4, AttemptOutcome::Ok, MS), vec![], "the same outcome reported twice");
    gateway.notify(Event::Endpoints(EndpointUpdate::Full(vec![])));
    gateway.arrive(Request { shard: None, ..request(6) });
    let rejected_ids = rejected(&gateway.advance(3 * SECOND));
    assert!(rejected_ids.contains(&5) && rejected_ids.contains(&6));
}

#[test]
fn names_invalid_settings() {
    let field = |change: fn(&mut Settings)| {
        let mut settings = default_settings();
        change(&mut settings);
        Scheduler::new(settings, 1).err().map(|e| e.field)
    };
    assert_eq!(field(|_| ()), None);
    assert_eq!(field(|s| s.classes.clear()), Some("classes"));
    assert_eq!(field(|s| s.classes[0].latency_objective = Micros(-1)), Some("classes"));
    assert_eq!(field(|s| s.plans.clear()), Some("plans"));
    assert_eq!(field(|s| s.plans[0].weight = f64::NAN), Some("plans"));
    assert_eq!(field(|s| s.gateways = 0), Some("hosts"));
    assert_eq!(field(|s| s.mean_request_units = 0.0), Some("mean_units"));
    assert_eq!(field(|s| s.max_request_units = 1.0), Some("most_units"));
    assert_eq!(field(|s| s.tick = Micros(-1)), Some("tick"));
    assert_eq!(field(|s| s.slow_start.window = Micros(-1)), Some("cold"));
    assert_eq!(field(|s| s.slow_start.overload_factor = f64::NAN), Some("cold"));
}
