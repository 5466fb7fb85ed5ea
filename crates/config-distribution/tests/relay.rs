//! What a relay sends to its subscribers, and which connections it closes.
mod common;
use cluster_types::Index;
use common::relay::{close_reason, message_count, sent_changes, sent_chunks, shard_scope, TestRelay};
use config_distribution::{
    Catalogue, CloseReason, Key, Rejection, Relay, RelayAction, RelayEvent, RelayMessage, Scope, Settings,
    SubscriberMessage, Topic,
};
use rstest::rstest;

/// A relay with a live subscriber of shard 1 on connection 1, as of version 1.
fn relay_with_live_subscriber() -> TestRelay {
    let mut relay = TestRelay::new();
    relay.write_primary();
    let actions = relay.subscribe(1, shard_scope(1), 1);
    assert_eq!(message_count(&actions, 1), 1, "no changes since its version");
    relay
}

#[test]
fn sends_primary_at_once_to_its_scope_only() {
    let mut relay = relay_with_live_subscriber();
    relay.subscribe(2, shard_scope(2), 1);
    let actions = relay.write_primary();
    assert_eq!(sent_changes(&actions, 1), [(1, 2, vec!["box".to_string()])]);
    assert_eq!(sent_changes(&actions, 2), []);
}

#[test]
fn batches_configuration_with_newest_value_of_each_key() {
    let mut relay = relay_with_live_subscriber();
    for n in 0..5u8 {
        let actions = relay.write_setting("limit", &[n]);
        assert_eq!(sent_changes(&actions, 1), []);
        relay.wait(100);
    }
    relay.write_setting("other", b"x");
    let actions = relay.wait(2_000);
    assert_eq!(sent_changes(&actions, 1), [(1, 7, vec!["limit".to_string(), "other".to_string()])]);
}

#[test]
fn sends_pending_configuration_with_primary() {
    let mut relay = relay_with_live_subscriber();
    relay.write_setting("limit", b"x");
    let actions = relay.write_primary();
    assert_eq!(sent_changes(&actions, 1), [(1, 3, vec!["limit".to_string(), "box".to_string()])]);
    assert_eq!(sent_changes(&relay.wait(3_000), 1), []);
}

#[test]
fn sends_nothing_before_acknowledgement_and_then_newest_values() {
    let mut relay = relay_with_live_subscriber();
    relay.write_primary();
    for n in 0..100u8 {
        assert_eq!(sent_changes(&relay.write_setting("limit", &[n]), 1), []);
        assert_eq!(sent_changes(&relay.write_primary(), 1), []);
    }
    let actions = relay.acknowledge(1, 2);
    assert_eq!(sent_changes(&actions, 1), [(2, 202, vec!["limit".to_string(), "box".to_string()])]);
}

#[test]
fn closes_unresponsive_subscriber_without_delaying_others() {
    let mut relay = relay_with_live_subscriber();
    relay.subscribe(2, shard_scope(1), 1);
    relay.write_primary();
    relay.acknowledge(2, 2);
    let actions = relay.write_primary();
    assert_eq!(sent_changes(&actions, 2).len(), 1);
    relay.acknowledge(2, 3);
    let actions = relay.wait(6_100);
    assert_eq!(
        (close_reason(&actions, 1), close_reason(&actions, 2)),
        (Some(CloseReason::ReplyTimeout), None)
    );
    assert!(message_count(&actions, 1) >= 2, "heartbeats continue meanwhile");
    assert_eq!(relay.inner.stats().reply_timeouts, 1);
}

#[test]
fn acknowledgement_of_older_version_does_not_extend_timeout() {
    let mut relay = relay_with_live_subscriber();
    relay.write_primary();
    for _ in 0..10 {
        relay.wait(700);
        relay.acknowledge(1, 1);
    }
    assert_eq!(close_reason(&relay.actions, 1), Some(CloseReason::ReplyTimeout));
}

#[test]
fn subscriber_ahead_of_relay_receives_nothing_older_and_is_not_lagging() {
    let mut relay = relay_with_live_subscriber();
    let actions = relay.subscribe(2, shard_scope(1), 5);
    assert!(
        matches!(&actions[..], [RelayAction::Send { message: RelayMessage::Subscribed { .. }, .. }]),
        "{actions:?}"
    );
    (0..4).for_each(|n| drop(relay.write_setting(&format!("s{n}"), b"x")));
    // It does not lag while the changes are batched either.
    relay.wait(1_200);
    let report = relay.inner.fleet_status().reports().next().unwrap().clone();
    assert!(report.lags.iter().all(|lag| *lag.gateway != *"gateway-2"), "{report:?}");
    let actions = relay.wait(12_000);
    assert_eq!(sent_changes(&actions, 2), []);
    let report = relay.inner.fleet_status().reports().next().unwrap().clone();
    assert!(report.lags.iter().all(|lag| *lag.gateway != *"gateway-2"), "{report:?}");
    assert_eq!(sent_changes(&relay.write_primary(), 2), [(5, 6, vec!["box".to_string()])]);
}

#[test]
fn sends_snapshot_to_subscriber_of_another_log() {
    let mut relay = relay_with_live_subscriber();
    relay.handle(RelayEvent::Connected { connection: 3, name: "gateway-3".into() });
    let actions =
        relay.receive(3, SubscriberMessage::Subscribe { log_id: 6, scope: shard_scope(1), from: Index(90) });
    assert_eq!(sent_chunks(&actions, 3).len(), 1);
    assert_eq!(sent_changes(&actions, 3), [(1, 1, vec![])]);
}

#[test]
fn defers_subscribers_before_first_catalogue() {
    let mut relay = TestRelay::new();
    relay.inner = Relay::new(Settings::default(), "relay-1", Catalogue::new(0), relay.now);
    let actions = relay.subscribe(1, shard_scope(1), 0);
    assert_eq!(close_reason(&actions, 1), Some(CloseReason::RetryLater));
}

#[test]
fn limits_number_of_subscribers() {
    let mut relay = relay_with_live_subscriber();
    relay.inner =
        Relay::new(Settings { max_subscribers: 3, ..Settings::default() }, "r", Catalogue::new(7), relay.now);
    let subscribe = |connection| close_reason(&relay.subscribe(connection, shard_scope(1), 1), connection);
    let closed: Vec<_> = (1..=5).map(subscribe).collect();
    assert_eq!(closed, [None, None, None, Some(CloseReason::RetryLater), Some(CloseReason::RetryLater)]);
    relay.handle(RelayEvent::Disconnected { connection: 2 });
    relay.subscribe(6, shard_scope(1), 1);
    assert_eq!(relay.inner.subscriber_count(), 3);
}

#[test]
fn replaces_earlier_connection_of_same_subscriber() {
    let mut relay = relay_with_live_subscriber();
    let actions = relay.handle(RelayEvent::Connected { connection: 2, name: "gateway-1".into() });
    assert_eq!(close_reason(&actions, 1), Some(CloseReason::Replaced));
    relay.handle(RelayEvent::Disconnected { connection: 1 });
    relay.receive(2, SubscriberMessage::Subscribe { log_id: 7, scope: shard_scope(1), from: Index(1) });
    assert_eq!(sent_changes(&relay.write_primary(), 2).len(), 1);
}

fn rejections(count: usize, reason_bytes: usize) -> SubscriberMessage {
    let key = Key::new(Topic::Shard(1), "box");
    let rejection = Rejection { key, version: Index(1), reason: "x".repeat(reason_bytes) };
    SubscriberMessage::Acknowledge { up_to: Index(1), rejected: vec![rejection; count] }
}

#[rstest]
#[case::acknowledged_ahead(SubscriberMessage::Acknowledge { up_to: Index(9), rejected: vec![] })]
#[case::too_many_rejections(rejections(9, 3))]
#[case::oversized_reason(rejections(1, 5_000))]
#[case::next_chunk_without_snapshot(SubscriberMessage::NextChunk)]
#[case::report_of_gateway(SubscriberMessage::Report(common::report("gateway-1", 1, 1)))]
#[case::scope_without_fleet_topic(SubscriberMessage::Subscribe { log_id: 7, scope: Scope::Topics([].into()), from: Index(1) })]
#[case::oversized_scope(SubscriberMessage::Subscribe { log_id: 7, scope: Scope::of((0..20_000).map(Topic::Shard)), from: Index(1) })]
fn closes_connection_on_protocol_error(#[case] message: SubscriberMessage) {
    let mut relay = relay_with_live_subscriber();
    relay.subscribe(2, shard_scope(1), 1);
    let actions = relay.receive(1, message);
    assert_eq!(
        (close_reason(&actions, 1), relay.inner.stats().protocol_errors),
        (Some(CloseReason::ProtocolError), 1)
    );
    assert_eq!(sent_changes(&relay.write_primary(), 2).len(), 1, "other subscribers are still served");
}

#[test]
fn sends_checksum_periodically_when_idle() {
    let mut relay = relay_with_live_subscriber();
    let actions = relay.wait(21_000);
    let has_checksum = |action: &&RelayAction| {
        matches!(action, RelayAction::Send { message: RelayMessage::Heartbeat { checksum: Some(_), .. }, .. })
    };
    assert_eq!(actions.iter().filter(has_checksum).count(), 2);
    assert!((10..=13).contains(&message_count(&actions, 1)));
}
