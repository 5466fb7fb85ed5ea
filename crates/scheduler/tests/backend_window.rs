//! A backend's window: adaptation to latency, lost responses, and sharing among many gateways.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

fn gateway_of_fleet(gateways: u32) -> Gateway {
    Gateway::new(Settings { gateways, ..default_settings() })
}

#[test]
fn lost_response_occupies_slot_for_a_few_latencies() {
    let mut gateway = Gateway::new(default_settings());
    let actions = gateway.arrive(request(1));
    let Some(Action::Send { timeout: Some(timeout), .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(timeout.0 <= SECOND, "{timeout:?}");
    // Other requests are served meanwhile, so the backend is healthy: its window stays open, and queued
    // requests are sent.
    gateway.arrive(request(2));
    assert_eq!(gateway.arrive(request(3)), vec![]);
    gateway.advance(50 * MS);
    assert_eq!(sent(&gateway.end_attempt(2, AttemptOutcome::Ok, 50 * MS)), vec![3]);
    gateway.end_attempt(3, AttemptOutcome::Ok, 50 * MS);
    gateway.advance(250 * MS);
    assert_eq!(
        rejected(&gateway.end_attempt(1, AttemptOutcome::Timeout, timeout.0)),
        vec![1],
        "past its objective"
    );
    assert_eq!(sent(&gateway.arrive(request(4))), vec![4]);
}

#[test]
fn tries_slow_backend_again_after_a_while() {
    let mut gateway = Gateway::new(default_settings());
    gateway.arrive(request(1));
    gateway.advance(900 * MS);
    gateway.end_attempt(1, AttemptOutcome::Ok, 900 * MS);
    assert_eq!(
        rejected(&gateway.arrive(request(2))),
        vec![2],
        "the last known latency exceeds the objective"
    );
    gateway.advance(30 * SECOND);
    assert_eq!(sent(&gateway.arrive(request(3))), vec![3]);
}

#[test]
fn one_late_response_does_not_eject_widely_shared_backend() {
    let mut gateway = Gateway::new(Settings { gateways: 300, ..default_settings() });
    let reserved = |id| Request { plan: 2, ..request(id) };
    for id in 0..8 {
        assert_eq!(sent(&gateway.arrive(reserved(id))), vec![id]);
        gateway.advance(SECOND);
        gateway.end_attempt(id, AttemptOutcome::Ok, 20 * MS);
    }
    gateway.arrive(reserved(8));
    gateway.advance(SECOND);
    gateway.end_attempt(8, AttemptOutcome::Ok, 260 * MS);
    assert_eq!(
        sent(&gateway.arrive(reserved(9))),
        vec![9],
        "inside the reservation, and the backend responds"
    );
    // Requests beyond the reservation are queued: a late response narrows the window.
    let beyond: Vec<u64> = (10..14).flat_map(|id| sent(&gateway.arrive(request(id)))).collect();
    assert!(beyond.len() <= 1, "{beyond:?}");
    // A timeout still ejects it.
    gateway.advance(SECOND);
    gateway.end_attempt(9, AttemptOutcome::Timeout, SECOND);
    assert_eq!(rejected(&gateway.arrive(reserved(20))), vec![20]);
}

#[test]
fn window_of_one_survives_lost_response() {
    let mut settings = default_settings();
    settings.classes[0].latency_objective = Micros(1900 * MS);
    let mut gateway = Gateway::new(settings);
    for id in 1..40 {
        // Growing latency narrows the window.
        gateway.arrive(request(id));
        gateway.end_attempt(id, AttemptOutcome::Ok, (10 + id as i64) * MS);
    }
    let waiting = (100..120).filter(|id| sent(&gateway.arrive(request(*id))).is_empty()).count();
    assert!(waiting > 10);
    let probe = sent(&gateway.advance(400 * MS));
    assert_eq!(probe.len(), 1, "one more request probes the backend");
    assert_eq!(sent(&gateway.advance(400 * MS)).len(), 0, "none after that while the backend is silent");
    let sent_after_response = sent(&gateway.end_attempt(probe[0], AttemptOutcome::Ok, 20 * MS));
    assert!(
        !sent_after_response.is_empty(),
        "a response to a later attempt shows that earlier responses were lost"
    );
}

#[test]
fn paces_unreserved_requests_in_large_fleet() {
    let next = |plan: usize| {
        let mut gateway = gateway_of_fleet(200);
        assert_eq!(sent(&gateway.arrive(request(1))), vec![1]);
        gateway.end_attempt(1, AttemptOutcome::Ok, 10 * MS);
        sent(&gateway.arrive(Request { plan, volume: VolumeId("w".into()), ..request(2) }))
    };
    assert_eq!(next(0), Vec::<u64>::new());
    assert_eq!(next(2), vec![2]);
}

#[test]
fn ejection_grows_with_number_of_gateways() {
    let is_sent_soon_after_timeout = |gateways: u32| {
        let mut gateway = gateway_of_fleet(gateways);
        gateway.arrive(request(1));
        gateway.advance(300 * MS);
        gateway.end_attempt(1, AttemptOutcome::Timeout, 300 * MS);
        gateway.advance(100 * MS);
        let mut actions = gateway.arrive(Request { plan: 2, volume: VolumeId("w".into()), ..request(2) });
        actions.extend(gateway.advance(50 * MS));
        !sent(&actions).is_empty()
    };
    assert!(is_sent_soon_after_timeout(2));
    assert!(!is_sent_soon_after_timeout(200));
}

#[test]
fn silent_shared_backend_is_not_assumed_fast() {
    let is_admitted = |gateways: u32| {
        let mut gateway = gateway_of_fleet(gateways);
        gateway.arrive(request(1));
        gateway.end_attempt(1, AttemptOutcome::Ok, 150 * MS);
        gateway.advance(60 * SECOND);
        let short = Request { plan: 2, volume: VolumeId("w".into()), timeout: Micros(60 * MS), ..request(2) };
        rejected(&gateway.arrive(short)).is_empty()
    };
    assert!(is_admitted(2));
    assert!(!is_admitted(200));
}

#[test]
fn silent_backend_counts_as_average_in_large_fleet() {
    let is_admitted = |gateways: u32| {
        let mut gateway = gateway_of_fleet(gateways);
        gateway.arrive(request(1));
        gateway.end_attempt(1, AttemptOutcome::Ok, 10 * MS);
        for id in 2..40 {
            gateway.arrive(Request { shard: Some(ShardId(1)), plan: 2, ..request(id) });
            gateway.end_attempt(id, AttemptOutcome::Ok, 100 * MS);
            gateway.advance(SECOND);
        }
        let short =
            Request { plan: 2, volume: VolumeId("w".into()), timeout: Micros(40 * MS), ..request(99) };
        rejected(&gateway.arrive(short)).is_empty()
    };
    assert!(is_admitted(2), "a gateway with much of a backend's traffic relies on its own observations");
    assert!(!is_admitted(200));
}

#[test]
fn spaces_background_requests_to_late_backend() {
    let sent_in_a_second = |background: bool| {
        let mut settings = Settings { gateways: 100, ..default_settings() };
        settings.classes.push(Class {
            latency_objective: Micros(2 * SECOND),
            deadline: Micros(8 * SECOND),
            priority_weight: 1.0,
            ..class()
        });
        let mut gateway = Gateway::new(settings);
        let request_of = |id, class| Request { class, plan: 2, timeout: Micros(8 * SECOND), ..request(id) };
        for id in 0..4 {
            gateway.arrive(request_of(id, 0));
            gateway.advance(110 * MS);
            gateway.end_attempt(id, AttemptOutcome::Ok, 110 * MS);
            gateway.advance(SECOND);
        }
        let mut count = 0;
        for id in 10..30 {
            let mut out = sent(&gateway.arrive(request_of(id, usize::from(background))));
            out.extend(sent(&gateway.advance(50 * MS)));
            count += out.len();
            out.iter().for_each(|id| drop(gateway.end_attempt(*id, AttemptOutcome::Ok, 110 * MS)));
        }
        count
    };
    assert!(2 * sent_in_a_second(true) <= sent_in_a_second(false), "{}", sent_in_a_second(true));
}
