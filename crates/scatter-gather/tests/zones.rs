//! Zone health, and its effect on gathers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scatter_gather::*;
use std::time::Duration;

const FOUR_REQUESTS: &str = "a@home b@home c@east d@west";
const ALLOW_PARTIAL: &str = "otherwise = \"in-part\"";

fn report(zone: &str, suspicion: f32, sources: u32) -> ZoneReport {
    ZoneReport { zone: zone.into(), suspicion, sources, age: Duration::ZERO }
}

#[test]
fn sends_ejected_zone_only_probes() {
    let policy = policy(FOUR_REQUESTS, "suffices = { at_least = 3 }");
    let mut shared = shared_after_misses("west", 6);
    assert_eq!(shared.zones.health(at_ms(60), &"west".into()), ZoneHealth::Ejected);
    assert_eq!(shared.zones.worthwhile_wait(at_ms(60), &"west".into(), ms(480), false), Duration::ZERO);
    let mut sent = Vec::new();
    for i in 0..40u64 {
        let mut test = TestGather::new(&policy, 100 + i * 50, 1100 + i * 50, shared);
        (0..3).for_each(|request| test.respond_value(110 + i * 50, request));
        test.advance(3200);
        let (when, text) = test.answer().unwrap();
        assert!(when < 100 + i * 50 + 100 && text == "part missing=west/d:cut-off", "{when} {text}");
        sent.push(test.sent.len());
        shared = test.shared;
    }
    let probes = sent.iter().filter(|count| **count == 4).count();
    assert!((2..=5).contains(&probes) && sent[0] == 4, "{sent:?}");
}

#[test]
fn waits_for_ejected_zone_if_needed() {
    let mut shared = shared_after_misses("west", 6);
    shared.zones.plan_wait(at_ms(90), &"west".into(), ms(480), false);
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, ""), 100, 1100, shared);
    assert_eq!(test.sent.len(), 4);
    (0..4).for_each(|request| test.respond_value(120, request));
    assert_eq!(test.answer(), expected_answer(120, "whole"));
}

#[test]
fn ignores_inconclusive_waits() {
    let mut shared = shared_after_misses("west", 0);
    for i in 0..20u64 {
        let mut test = TestGather::new(&policy("a@west", ""), 100 + i * 30, 150 + i * 30, shared);
        test.advance(5000);
        shared = test.shared;
    }
    assert_eq!(shared.zones.health(at_ms(900), &"west".into()), ZoneHealth::Healthy);
}

#[test]
fn reports_eject_only_with_own_misses_and_several_sources() {
    let zone = "west".into();
    let mut zones = shared_after_misses("west", 0).zones;
    zones.receive_report(at_ms(100), &report("west", 1.0, 9));
    assert_eq!(zones.health(at_ms(100), &zone), ZoneHealth::Healthy, "it responded to this process just now");
    assert_eq!(
        zones.health(at_ms(900), &zone),
        ZoneHealth::Suspect,
        "its response is not recent any more, and this process missed none"
    );
    zones.record_silence(at_ms(901), &zone, ms(480));
    assert_eq!(zones.health(at_ms(901), &zone), ZoneHealth::Ejected, "both own misses and reports");
    zones.receive_report(at_ms(902), &report("west", 1.0, 1));
    assert_eq!(zones.health(at_ms(902), &zone), ZoneHealth::Suspect, "reports of a single source");
    assert_eq!(zones.health(at_ms(60_000), &zone), ZoneHealth::Healthy, "everything expires");
    zones.receive_report(at_ms(902), &report("west", f32::NAN, 1));
    assert_eq!(zones.malformed_reports, 1);
}

#[test]
fn does_not_forward_reports_of_others() {
    let mut zones = shared().zones;
    zones.receive_report(at_ms(1), &report("west", 1.0, 9));
    assert!(
        zones.health(at_ms(1), &"west".into()) != ZoneHealth::Healthy
            && zones.observations(at_ms(1)).is_empty()
    );
    zones.record_response(at_ms(2), &"east".into(), ms(20), true);
    zones.receive_report(at_ms(700), &report("east", 1.0, 9));
    assert_eq!(zones.health(at_ms(700), &"east".into()), ZoneHealth::Suspect);
    let observed = zones.observations(at_ms(700));
    assert_eq!(
        (observed[0].condition, observed[0].confidence, observed[0].age),
        (ZoneCondition::Healthy, 1.0, ms(698))
    );
    (0..3).for_each(|_| zones.record_unreachable(at_ms(2), &"west".into()));
    assert_eq!(zones.observations(at_ms(3))[1].condition, ZoneCondition::Failing);
}

#[test]
fn report_shortens_wait_of_open_gather() {
    let mut gathers: Gathers<Bytes> =
        Gathers::new(4, shared_after_misses("west", 1).zones, MemoryBudget::new(1000));
    let mut out = Vec::new();
    let id = gathers.start(at_ms(100), policy(FOUR_REQUESTS, ALLOW_PARTIAL), at_ms(1100), &mut out).unwrap();
    (0..3).for_each(|request| {
        gathers.handle(
            at_ms(110),
            id,
            GatherEvent::Response { request, response: ShardResponse::Value(vec![1]) },
            &mut out,
        )
    });
    assert_eq!(gathers.next_wakeup(), Some(at_ms(580)));
    out.clear();
    gathers.receive_report(at_ms(200), &report("west", 1.0, 3), &mut out);
    assert!(
        matches!(&out[0].1, GatherAction::Answer(answer) if answer.status().to_string() == "part missing=west/d:cut-off")
    );
    assert!(matches!(&out[1].1, GatherAction::Abandon { request: 3 }));
}

#[test]
fn recovery_needs_more_responses_after_each_relapse() {
    let (zone, mut zones) = ("west".into(), shared_after_misses("west", 0).zones);
    let mut now = 1000;
    let mut needed = Vec::new();
    for _ in 0..6 {
        (0..3).for_each(|_| zones.record_silence(at_ms(now), &zone, ms(480)));
        let mut responses = 0;
        while zones.health(at_ms(now), &zone) != ZoneHealth::Healthy {
            responses += 1;
            now += 20;
            zones.record_response(at_ms(now), &zone, ms(20), true);
        }
        needed.push(responses);
    }
    assert_eq!(needed, [3, 6, 12, 24, 24, 24]);
}

#[test]
fn ejects_silent_suspect_zone_until_probes_find_recovery() {
    let policy = policy(FOUR_REQUESTS, "suffices = { at_least = 3 }");
    let (mut shared, zone) = (shared_after_misses("west", 3), "west".into());
    let mut health_after_gather = Vec::new();
    for i in 0..20u64 {
        let start_ms = 100 + i * 400;
        let mut test = TestGather::new(&policy, start_ms, start_ms + 1000, shared);
        (0..3).for_each(|request| test.respond_value(start_ms + 10, request));
        if i >= 6 && test.sent.contains(&3) {
            test.respond_value(start_ms + 20, 3);
        }
        test.advance(start_ms + 399);
        health_after_gather.push(test.shared.zones.health(at_ms(start_ms + 399), &zone));
        shared = test.shared;
    }
    assert_eq!(health_after_gather[0], ZoneHealth::Suspect);
    assert_eq!(health_after_gather[2], ZoneHealth::Ejected);
    assert!(
        health_after_gather[5] == ZoneHealth::Ejected && health_after_gather[12] == ZoneHealth::Healthy,
        "{health_after_gather:?}"
    );
}

#[test]
fn late_response_lengthens_wait() {
    let (zone, mut zones) = ("west".into(), shared_after_misses("west", 3).zones);
    let short = zones.worthwhile_wait(at_ms(60), &zone, ms(480), false);
    zones.record_late_response(at_ms(60), &zone, ms(200));
    assert!(short < ms(60) && zones.worthwhile_wait(at_ms(60), &zone, ms(480), false) == ms(300));
    zones.record_late_response(at_ms(61), &zone, ms(900));
    assert_eq!(
        zones.worthwhile_wait(at_ms(62), &zone, ms(480), false),
        ms(10),
        "a response would not arrive in time"
    );
    assert_eq!(zones.observations(at_ms(62))[0].condition, ZoneCondition::Slow);
}

#[test]
fn counts_responses_of_one_gather_as_one_observation() {
    let mut test = TestGather::new(
        &policy("a@west b@west c@west d@west", ""),
        100,
        1100,
        shared_after_misses("west", 3),
    );
    (0..4).for_each(|request| test.respond_value(110, request));
    assert_eq!(test.shared.zones.health(at_ms(110), &"west".into()), ZoneHealth::Suspect);
}

#[test]
fn probe_waits_for_typical_latency_and_reports_alone_shorten_no_needed_wait() {
    let (zone, mut zones) = ("west".into(), shared_after_misses("west", 6).zones);
    let probe = zones.plan_wait(at_ms(60), &zone, ms(480), false);
    assert!(probe.is_probe && probe.wait >= ms(30) && probe.wait < ms(60), "{probe:?}");
    let next = zones.plan_wait(at_ms(61), &zone, ms(480), false);
    assert_eq!(next, WaitPlan { is_sent: false, wait: Duration::ZERO, is_probe: false });
    let mut zones = shared_after_misses("west", 0).zones;
    zones.receive_report(at_ms(900), &report("west", 1.0, 9));
    assert!(zones.plan_wait(at_ms(900), &zone, ms(480), false).wait < ms(60));
    assert_eq!(zones.plan_wait(at_ms(900), &zone, ms(480), true).wait, ms(480));
}

#[test]
fn suspects_zone_with_more_misses_than_responses() {
    let (zone, mut zones) = ("west".into(), shared_after_misses("west", 0).zones);
    for i in 0..12 {
        (0..2).for_each(|_| zones.record_silence(at_ms(100 + i), &zone, ms(480)));
        zones.record_response(at_ms(100 + i), &zone, ms(20), true);
    }
    assert!(zones.health(at_ms(112), &zone) != ZoneHealth::Healthy);
}
