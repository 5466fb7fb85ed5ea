//! Reservations and rate limits that are shared among gateways, and the placement of new objects.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

#[test]
fn reservation_shrinks_with_units_served_by_other_gateways() {
    // Two volumes of the same weight: the more units of one volume other gateways served, the smaller its
    // reservation at this gateway.
    let mut settings = default_settings();
    settings.classes[0].latency_objective = Micros(1900 * MS);
    let position_of_free_request = |remote_units: f64| {
        let mut gateway = Gateway::new(settings.clone());
        let request_of = |id: u64, plan: usize, volume: &str| Request {
            plan,
            volume: VolumeId(volume.into()),
            ..request(id)
        };
        for id in 1..9 {
            let free = [2, 3].contains(&id);
            gateway.arrive(request_of(id, if free { 0 } else { 2 }, if free { "free" } else { "reserved" }));
        }
        let mut in_flight =
            sent(&gateway.end_attempt_reporting(1, AttemptOutcome::Ok, 20 * MS, remote_units));
        let mut order = vec![];
        while let Some(id) = in_flight.pop() {
            order.push(id);
            in_flight.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 20 * MS)));
        }
        order.iter().position(|id| *id == 3)
    };
    assert!(
        position_of_free_request(1000.0) < position_of_free_request(0.0),
        "{:?}",
        position_of_free_request(0.0)
    );
}

#[test]
fn reservation_stays_even_without_remote_reports() {
    let reserved_first = |gateways: u32| {
        let mut settings = Settings { gateways, reports_remote_units: false, ..default_settings() };
        settings.classes[0].latency_objective = Micros(1900 * MS);
        let mut gateway = Gateway::new(settings);
        let request_of = |id: u64, plan: usize, volume: &str| Request {
            plan,
            volume: VolumeId(volume.into()),
            volume_gateways: gateways,
            ..request(id)
        };
        for id in 0..100 {
            gateway.arrive(request_of(id, 2, "reserved"));
            gateway.end_attempt(id, AttemptOutcome::Ok, 10 * MS);
        }
        gateway.advance(SECOND);
        for id in 100..110 {
            gateway.arrive(request_of(
                id,
                if id < 104 { 0 } else { 2 },
                if id < 104 { "free" } else { "reserved" },
            ));
        }
        let mut in_flight = sent(&gateway.end_attempt(100, AttemptOutcome::Ok, 10 * MS));
        let mut order = vec![];
        while let Some(id) = in_flight.pop() {
            order.push(id);
            in_flight.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 10 * MS)));
        }
        order.iter().take_while(|id| **id >= 104).count()
    };
    assert!(reserved_first(1) > reserved_first(4), "{} {}", reserved_first(1), reserved_first(4));
}

#[test]
fn places_new_object_away_from_unreachable_backend() {
    let mut gateway = Gateway::new(default_settings());
    gateway.arrive(Request { shard: None, ..request(1) });
    let first = gateway.backends[&1].clone();
    assert_eq!(sent(&gateway.end_attempt(1, AttemptOutcome::ConnectFailed, MS)), vec![1]);
    assert_ne!(gateway.backends[&1], first, "no backend holds it, so it may be placed elsewhere");
    gateway.end_attempt(1, AttemptOutcome::Ok, 20 * MS);
    gateway.arrive(Request { shard: None, ..request(2) });
    assert_ne!(gateway.backends[&2], first);
    gateway.advance(SECOND);
    // Data that the backend holds can be served nowhere else: the backend must be tried, or it would never
    // recover.
    let shard = if first == BackendId("a".into()) { ShardId(0) } else { ShardId(1) };
    assert_eq!(sent(&gateway.arrive(Request { shard: Some(shard), ..request(3) })), vec![3]);
}

#[test]
fn rate_limit_is_shared_and_survives_restarts() {
    let mut settings = default_settings();
    settings.plans[0].limit_rate = 10.0;
    settings.plans[0].limit_burst = 16.0;
    settings.classes[0].latency_objective = Micros(2 * SECOND);
    let mut sent_units = 0.0;
    for _ in 0..3 {
        // Each start creates a gateway without state: three starts within six seconds.
        let mut gateway = Gateway::new(settings.clone());
        for id in 0..20 {
            let mut actions = gateway.arrive(Request { volume_gateways: 2, ..request(id) });
            actions.extend(gateway.advance(100 * MS));
            let mut in_flight = sent(&actions);
            while let Some(id) = in_flight.pop() {
                sent_units += 2.0;
                in_flight.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 10 * MS)));
            }
        }
    }
    assert!(sent_units > 20.0 && sent_units <= 5.0 * 6.0, "{sent_units} units in 6 s at 5 a second");
}

#[test]
fn volume_gateways_are_capped_at_fleet_size() {
    let initial_burst = |volume_gateways: u32| {
        let mut settings = settings_with_long_objective();
        settings.plans[0].limit_rate = 10.0;
        settings.plans[0].limit_burst = 16.0;
        let mut gateway = Gateway::new(settings);
        gateway.advance(10 * SECOND);
        let admitted = (0..20).filter(|id| {
            let is_sent = !sent(&gateway.arrive(Request { volume_gateways, ..request(*id) })).is_empty();
            if is_sent {
                gateway.end_attempt(*id, AttemptOutcome::Ok, MS);
            }
            is_sent
        });
        admitted.count()
    };
    assert_eq!(initial_burst(4_000_000_000), initial_burst(2));
    assert_eq!(initial_burst(2), 4, "half of the burst, in requests of two units");
}

#[test]
fn reload_does_not_refill_rate_limits() {
    let limited = |rate| Settings {
        plans: vec![Plan { limit_rate: rate, limit_burst: 8.0, ..plan() }],
        ..default_settings()
    };
    let mut gateway = Gateway::new(limited(4.0));
    gateway.advance(10 * SECOND);
    let request_of = |id: u64, volume: &str| Request { volume: VolumeId(volume.into()), ..request(id) };
    let count_sent = |gateway: &mut Gateway, from: u64, volume: &str| {
        let ids = from..from + 8;
        ids.filter(|id| {
            let is_sent = sent(&gateway.arrive(request_of(*id, volume))).len() == 1;
            if is_sent {
                gateway.end_attempt(*id, AttemptOutcome::Ok, MS);
            }
            is_sent
        })
        .count()
    };
    assert_eq!(count_sent(&mut gateway, 10, "known"), 4);
    let now = Micros(gateway.now);
    gateway.scheduler.reload(now, limited(4.0)).expect("good settings");
    assert_eq!(
        (count_sent(&mut gateway, 20, "known"), count_sent(&mut gateway, 30, "new")),
        (0, 4),
        "the same limits"
    );
    let now = Micros(gateway.now);
    gateway.scheduler.reload(now, limited(40.0)).expect("good settings");
    assert_eq!(count_sent(&mut gateway, 40, "newer"), 0, "what was sent under the old limits is unknown");
    assert!(!sent(&gateway.advance(SECOND)).is_empty(), "the token bucket fills at the new rate");
    let invalid = Settings { gateways: 0, ..limited(1.0) };
    assert!(gateway.scheduler.reload(Micros(gateway.now), invalid).is_err());
}
