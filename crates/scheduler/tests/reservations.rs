//! Reservations and rate limits, shared among gateways, and the placement of new objects.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

#[test]
fn reservation_shrinks_with_units_served_by_other_gateways() {
    // Two volumes of the same weight: the more other gateways served of one, the smaller its reservation here.
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
        let mut next = sent(&gateway.end_attempt_reporting(1, AttemptOutcome::Ok, 20 * MS, remote_units));
        let mut order = vec![];
        while let Some(id) = next.pop() {
            order.push(id);
            next.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 20 * MS)));
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
        let mut next = sent(&gateway.end_attempt(100, AttemptOutcome::Ok, 10 * MS));
        let mut order = vec![];
        while let Some(id) = next.pop() {
            order.push(id);
            next.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 10 * MS)));
        }
        order.iter().take_while(|id| **id >= 104).count()
    };
    assert!(reserved_first(1) > reserved_first(4), "{} {}", reserved_first(1), reserved_first(4));
}

#[test]
fn new_object_moves_away_from_unreachable_backend() {
    let mut gateway = Gateway::new(default_settings());
    gateway.arrive(Request { shard: None, ..request(1) });
    let first = gateway.backends[&1].clone();
    assert_eq!(sent(&gateway.end_attempt(1, AttemptOutcome::ConnectFailed, MS)), vec![1]);
    assert_ne!(gateway.backends[&1], first, "nobody has it, so it may go elsewhere");
    gateway.end_attempt(1, AttemptOutcome::Ok, 20 * MS);
    gateway.arrive(Request { shard: None, ..request(2) });
    assert_ne!(gateway.backends[&2], first);
    gateway.advance(SECOND);
    // Data that it holds can be served nowhere else: the backend is tried, or it would never recover.
    let shard = if first == BackendId("a".into()) { ShardId(0) } else { ShardId(1) };
    assert_eq!(sent(&gateway.arrive(Request { shard: Some(shard), ..request(3) })), vec![3]);
}

#[test]
fn rate_limit_is_shared_and_survives_restarts() {
    let mut settings = default_settings();
    settings.plans[0].limit_rate = 10.0;
    settings.plans[0].limit_burst = 16.0;
    settings.classes[0].latency_objective = Micros(2 * SECOND);
    let mut passed = 0.0;
    for _ in 0..3 {
        // Each start is a new gateway without memory: three starts within six seconds.
        let mut gateway = Gateway::new(settings.clone());
        for id in 0..20 {
            let mut actions = gateway.arrive(Request { volume_gateways: 2, ..request(id) });
            actions.extend(gateway.advance(100 * MS));
            let mut out = sent(&actions);
            while let Some(id) = out.pop() {
                passed += 2.0;
                out.extend(sent(&gateway.end_attempt(id, AttemptOutcome::Ok, 10 * MS)));
            }
        }
    }
    assert!(passed > 20.0 && passed <= 5.0 * 6.0, "{passed} units in 6 s at 5 a second");
}

#[test]
fn volume_gateways_are_capped_at_fleet_size() {
    let first_burst = |volume_gateways: u32| {
        let mut settings = settings_with_long_objective();
        settings.plans[0].limit_rate = 10.0;
        settings.plans[0].limit_burst = 16.0;
        let mut gateway = Gateway::new(settings);
        gateway.advance(10 * SECOND);
        let passed = (0..20).filter(|id| {
            let out = !sent(&gateway.arrive(Request { volume_gateways, ..request(*id) })).is_empty();
            if out {
                gateway.end_attempt(*id, AttemptOutcome::Ok, MS);
            }
            out
        });
        passed.count()
    };
    assert_eq!(first_burst(4_000_000_000), first_burst(2));
    assert_eq!(first_burst(2), 4, "half of the burst, in requests of two units");
}

#[test]
fn reload_refills_no_rate_limit() {
    let limited = |rate| Settings {
        plans: vec![Plan { limit_rate: rate, limit_burst: 8.0, ..plan() }],
        ..default_settings()
    };
    let mut gateway = Gateway::new(limited(4.0));
    gateway.advance(10 * SECOND);
    let request_of = |id: u64, volume: &str| Request { volume: VolumeId(volume.into()), ..request(id) };
    let count = |gateway: &mut Gateway, from: u64, volume: &str| {
        let ids = from..from + 8;
        ids.filter(|id| {
            let sends = sent(&gateway.arrive(request_of(*id, volume))).len() == 1;
            if sends {
                gateway.end_attempt(*id, AttemptOutcome::Ok, MS);
            }
            sends
        })
        .count()
    };
    assert_eq!(count(&mut gateway, 10, "known"), 4);
    let now = Micros(gateway.now);
    gateway.scheduler.reload(now, limited(4.0)).expect("good settings");
    assert_eq!((count(&mut gateway, 20, "known"), count(&mut gateway, 30, "new")), (0, 4), "the same limits");
    let now = Micros(gateway.now);
    gateway.scheduler.reload(now, limited(40.0)).expect("good settings");
    assert_eq!(count(&mut gateway, 40, "newer"), 0, "what was sent under the old limits is not known");
    assert!(!sent(&gateway.advance(SECOND)).is_empty(), "it fills at the new rate");
    let faulty = Settings { gateways: 0, ..limited(1.0) };
    assert!(gateway.scheduler.reload(Micros(gateway.now), faulty).is_err());
}
