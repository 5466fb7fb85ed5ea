//! Reports on the progress of gateways, and the rollout status derived from them. Their size does not grow with the fleet.
mod common;
use cluster_types::{Index, Time};
use common::relay::{shard_scope, TestRelay};
use common::report;
use config_distribution::{
    FleetStatus, GatewayRejection, Key, Lag, RelayAction, RelayEvent, RelayMessage, Report, RolloutStatus,
    Scope, SubscriberMessage, Topic, MAX_REPORTED_GATEWAYS,
};
use std::time::Duration;

const SILENCE: Duration = Duration::from_secs(5);

fn lag(gateway: &str, first_pending: u64) -> Lag {
    Lag { gateway: gateway.into(), first_pending: Index(first_pending), reason: "it was sent it".into() }
}

fn lagging(relay: &str, lags: Vec<Lag>, lagging: u32) -> Report {
    Report { lags, lagging, ..report(relay, 1, 9) }
}

fn rollout(reports: Vec<Report>, version: u64) -> RolloutStatus {
    let mut fleet = FleetStatus::default();
    reports.into_iter().for_each(|report| assert!(fleet.record(Time(0), report)));
    fleet.rollout(Time(1_000_000), Index(version), SILENCE)
}

#[test]
fn rollout_is_complete_once_all_have_acknowledged() {
    let status = rollout(vec![report("a", 1, 9), report("b", 1, 9)], 9);
    assert!(status.is_complete);
    assert_eq!(status.gateways, 20);
    assert!(!rollout(vec![], 0).is_complete, "nothing is known without a report");
}

#[test]
fn names_lagging_gateway_and_reason() {
    let reports = vec![report("a", 1, 9), lagging("b", vec![lag("gateway-3", 8)], 1)];
    let status = rollout(reports.clone(), 9);
    let expected = (false, vec![lag("gateway-3", 8)], 0);
    assert_eq!((status.is_complete, status.lags, status.unnamed_lagging), expected);
    assert!(rollout(reports, 7).is_complete, "the pending change is newer");
}

#[test]
fn counts_lagging_gateways_beyond_the_named() {
    let lags = (0..MAX_REPORTED_GATEWAYS).map(|n| lag(&format!("gateway-{n}"), 8)).collect();
    let status = rollout(vec![lagging("b", lags, 100)], 9);
    assert_eq!((status.lags.len(), status.unnamed_lagging), (8, 92));
}

#[test]
fn names_lagging_silent_and_missing_relays() {
    let mut fleet = FleetStatus::default();
    fleet.expect_reports(["a", "b", "c"].map(Into::into));
    fleet.record(Time(0), report("a", 1, 9));
    fleet.record(Time(6_000_000), report("b", 1, 8));
    let status = fleet.rollout(Time(7_000_000), Index(9), SILENCE);
    assert_eq!(status.lagging_relays, ["b".into()]);
    assert_eq!(status.silent_relays, ["a".into(), "c".into()]);
    assert!(!fleet.rollout(Time(7_000_000), Index(3), SILENCE).is_complete);
    fleet.expire(Time(100_000_000), Duration::from_secs(60));
    let status = fleet.rollout(Time(100_000_000), Index(3), SILENCE);
    assert_eq!(status.silent_relays.len(), 3, "an expired report does not settle a version");
}

#[test]
fn ignores_repeated_and_older_reports() {
    let mut fleet = FleetStatus::default();
    assert!(fleet.record(Time(0), report("a", 5, 9)));
    assert!(!fleet.record(Time(6_000_000), report("a", 5, 9)));
    assert!(!fleet.record(Time(6_000_000), report("a", 4, 3)), "an older report that arrives late");
    let status = fleet.rollout(Time(6_000_000), Index(9), SILENCE);
    assert_eq!((status.silent_relays.len(), status.lagging_relays.len()), (1, 0));
    assert!(fleet.record(Time(6_000_000), report("a", 6, 9)));
}

#[test]
fn does_not_send_old_reports_to_following_relays() {
    let mut relay = TestRelay::new();
    relay.subscribe(1, Scope::Everything, 1);
    relay.handle(RelayEvent::PeerReports(vec![report("b", 1, 9)]));
    let reports_of_b = |actions: &[RelayAction]| {
        let is_of_b = |report: &Report| *report.relay == *"b";
        let has_b = |action: &&RelayAction| matches!(action, RelayAction::Send { message: RelayMessage::Reports(all), .. } if all.iter().any(is_of_b));
        actions.iter().filter(has_b).count()
    };
    assert!(reports_of_b(&relay.wait(2_000)) > 0);
    relay.wait(1_000);
    assert_eq!(reports_of_b(&relay.wait(5_000)), 0);
}

#[test]
fn forwards_reports_of_following_relays_once_and_of_peers_never() {
    let mut relay = TestRelay::new();
    relay.subscribe(1, Scope::Everything, 1);
    let mut actions = vec![];
    let message = SubscriberMessage::Report(report("gateway-1", 1, 9));
    let event = RelayEvent::Message { connection: 1, message };
    relay.inner.handle(relay.now, event.clone(), &mut actions);
    assert!(matches!(&actions[..], [RelayAction::ShareReports(all)] if all.len() == 1), "{actions:?}");
    actions.clear();
    relay.inner.handle(relay.now, event, &mut actions);
    relay.inner.handle(relay.now, RelayEvent::PeerReports(vec![report("c", 1, 9)]), &mut actions);
    assert_eq!(actions, []);
}

#[test]
fn drops_and_counts_oversized_report() {
    let mut relay = TestRelay::new();
    let big = lagging("b", (0..9).map(|n| lag(&format!("gateway-{n}"), 8)).collect(), 9);
    relay.handle(RelayEvent::PeerReports(vec![big]));
    let reports = relay.inner.fleet_status().reports().count();
    assert_eq!((relay.inner.stats().protocol_errors, reports), (1, 0));
}

#[test]
fn reports_lags_and_rejections() {
    let mut relay = TestRelay::new();
    relay.write_primary();
    (1..=20).for_each(|connection| drop(relay.subscribe(connection, shard_scope(1), 1)));
    relay.write_primary();
    relay.acknowledge_rejecting(1, 2, &Key::new(Topic::Shard(1), "box"));
    relay.wait(1_100);
    let status = relay.inner.fleet_status().rollout(relay.now, Index(2), SILENCE);
    assert_eq!((status.is_complete, status.gateways), (false, 20));
    assert_eq!((status.lags.len(), status.unnamed_lagging), (8, 11));
    assert_eq!((status.rejecting, status.rejections.len()), (1, 1));
    let GatewayRejection { gateway, rejection } = &status.rejections[0];
    assert_eq!((&**gateway, &*rejection.reason), ("gateway-1", "no"));
    (1..=20).for_each(|connection| drop(relay.acknowledge(connection, 2)));
    relay.wait(1_100);
    let status = relay.inner.fleet_status().rollout(relay.now, Index(2), SILENCE);
    assert!(status.is_complete, "a rejected value is acknowledged: {status:?}");
    assert_eq!(status.rejecting, 0);
}

#[test]
fn rollout_status_size_does_not_grow_with_fleet() {
    let size = |gateways: u32| {
        let one = |n: u32| {
            let lags = (0..MAX_REPORTED_GATEWAYS).map(|k| lag(&format!("gateway-{n}-{k}"), 8)).collect();
            Report { gateways, ..lagging(&format!("relay-{n:02}"), lags, gateways) }
        };
        postcard::to_stdvec(&rollout((0..40).map(one).collect(), 9)).unwrap().len()
    };
    assert!(size(1_000_000) - size(100) < 400, "{} and {}", size(100), size(1_000_000));
}
