//! The choice of relays by a subscriber, disconnecting from them, and the time since contact with the log was lost.
mod common;
use backoff::{Failure, IDLE_TIMEOUT_US};
use cluster_types::Index;
use common::{change, TestHost};
use config_distribution::{RelayMessage, SubscriberAction, SubscriberEvent};
use std::time::Duration;

#[test]
fn switches_from_silent_relay_to_next_and_reports_isolation() {
    let mut host = TestHost::following(&[("a", 1, "one")], 1);
    let heard_at = host.now;
    host.now.0 += IDLE_TIMEOUT_US as u64;
    host.handle(SubscriberEvent::Tick);
    assert_eq!(host.subscriber.isolated_since(), Some(heard_at));
    assert_eq!(host.value("a"), Some((1, "one".into())), "the last known value stays");
    assert_eq!(host.connect_to(7).1, 1);
    assert_eq!(host.subscriber.isolated_since(), None);
}

#[test]
fn adopts_isolation_of_relay() {
    let mut host = TestHost::following(&[("a", 1, "one")], 1);
    let heartbeat = |isolated_s: Option<u64>| RelayMessage::Heartbeat {
        up_to: Index(1),
        checksum: None,
        isolated_for: isolated_s.map(Duration::from_secs),
    };
    let since = host.now - Duration::from_secs(9);
    host.receive(heartbeat(Some(9)));
    assert_eq!(host.subscriber.isolated_since(), Some(since));
    host.disconnect();
    assert_eq!(host.subscriber.isolated_since(), Some(since), "nothing newer is known");
    host.connect();
    host.receive(heartbeat(None));
    assert_eq!(host.subscriber.isolated_since(), None);
}

#[test]
fn deferred_subscriber_tries_next_relay() {
    let mut host = TestHost::new();
    let started = host.now;
    let (connection, relay) = host.next_attempt();
    assert_eq!(relay, 0);
    assert!(host.now.since(started) <= Duration::from_secs(5));
    host.handle(SubscriberEvent::Connected { connection });
    host.handle(SubscriberEvent::Message { connection, message: RelayMessage::RetryLater });
    host.handle(SubscriberEvent::Disconnected { connection, failure: Failure::Ended });
    assert_eq!(host.connect_to(7).1, 1);
}

#[test]
fn queues_complete_snapshot_while_applying() {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    let changes = vec![change("a", 4, Some("four"))];
    host.receive(RelayMessage::Changes { from: Index(3), up_to: Index(4), changes });
    host.disconnect();
    host.connect();
    // Its last chunk and the changes that complete it arrive together.
    host.receive_snapshot(vec![change("b", 6, Some("six"))], 6);
    let actions = host.accept();
    assert!(
        matches!(&actions[..], [SubscriberAction::Apply { is_snapshot: true, changes }] if changes.len() == 1),
        "{actions:?}"
    );
    host.accept();
    assert_eq!((host.value("a"), host.value("b")), (None, Some((6, "six".into()))));
}
