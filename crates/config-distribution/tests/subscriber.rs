//! Which messages a subscriber applies and which it ignores.
mod common;
use cluster_types::Index;
use common::{acknowledgement, change, changes, requested_values, sent_message, TestHost};
use config_distribution::{RelayMessage, Scope, SubscriberAction, SubscriberMessage, Topic};

#[test]
fn applies_changes_together_and_then_acknowledges() {
    let mut host = TestHost::following(&[("a", 1, "one")], 3);
    let actions = host.receive(changes(3, 6, vec![change("a", 4, Some("two")), change("b", 6, Some("x"))]));
    assert_eq!(requested_values(&actions), Some(vec![("a".into(), 4), ("b".into(), 6)]));
    assert_eq!(acknowledgement(actions), None, "not before it is applied");
    assert_eq!(host.value("a"), Some((1, "one".into())));
    assert_eq!(acknowledgement(host.accept()), Some((6, vec![])));
    assert_eq!(host.value("a"), Some((4, "two".into())));
}

#[test]
fn disconnects_from_relay_of_older_log() {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    host.disconnect();
    host.connect_to(6);
    assert_eq!((host.followed(), host.subscriber.stats().foreign_relays), (None, 1));
    assert_eq!(host.value("a"), Some((3, "three".into())));
    assert!(host.subscriber.isolated_since().is_some());
}

#[test]
fn later_log_replaces_all_values() {
    let mut host = TestHost::following(&[("a", 300, "three"), ("b", 7, "x")], 400);
    host.disconnect();
    host.connect_to(8);
    assert_eq!(host.value("a"), Some((300, "three".into())), "until the snapshot is complete");
    host.receive_snapshot(vec![change("a", 2, Some("new"))], 2);
    host.accept();
    assert_eq!((host.value("a"), host.value("b")), (Some((2, "new".into())), None));
}

#[test]
fn switches_to_next_relay_on_older_snapshot() {
    let mut host = TestHost::following(&[("a", 3, "three")], 10);
    host.subscriber.set_scope(Scope::of([Topic::Shard(5)]), &mut vec![]);
    host.receive(RelayMessage::Subscribed { log_id: 7 });
    host.receive(RelayMessage::SnapshotChunk {
        base: Index(9),
        is_first: true,
        is_last: true,
        entries: vec![],
    });
    assert_eq!((host.followed(), host.value("a")), (None, Some((3, "three".into()))));
    assert_eq!(host.connect_to(7).1, 1, "not the same relay again");
}

#[test]
fn rejects_snapshot_with_older_value() {
    let mut host = TestHost::following(&[("a", 3, "three")], 10);
    host.receive_snapshot(vec![change("a", 2, Some("older"))], 12);
    assert_eq!((host.followed(), host.value("a")), (None, Some((3, "three".into()))));
}

#[test]
fn snapshot_includes_changes_between_chunks() {
    let mut host = TestHost::new();
    host.connect();
    let chunk = |is_first, is_last, entries| RelayMessage::SnapshotChunk {
        base: Index(5),
        is_first,
        is_last,
        entries,
    };
    let actions =
        host.receive(chunk(true, false, vec![change("a", 1, Some("a1")), change("b", 2, Some("b1"))]));
    assert!(matches!(&actions[..], [SubscriberAction::Send { message: SubscriberMessage::NextChunk, .. }]));
    host.receive(chunk(false, false, vec![change("c", 7, Some("c2"))]));
    // Later changes may arrive in chunks too.
    host.receive(chunk(false, true, vec![change("b", 6, None), change("c", 4, Some("c1"))]));
    let actions = host.receive(changes(5, 8, vec![change("a", 8, Some("a2"))]));
    assert_eq!(requested_values(&actions), Some(vec![("a".into(), 8), ("c".into(), 7)]));
    assert_eq!(acknowledgement(host.accept()), Some((8, vec![])));
    assert_eq!((host.value("b"), host.value("c")), (None, Some((7, "c2".into()))));
}

#[test]
fn checksum_mismatch_requests_snapshot_and_ignores_messages_in_flight() {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    let actions =
        host.receive(RelayMessage::Heartbeat { up_to: Index(3), checksum: Some(1), isolated_for: None });
    assert!(matches!(
        actions.into_iter().find_map(sent_message),
        Some(SubscriberMessage::Subscribe { from: Index(0), .. })
    ));
    host.receive(changes(3, 4, vec![change("a", 4, Some("four"))]));
    assert!(host.followed().is_some(), "the relay sent it before it received the new request");
    assert_eq!(host.value("a"), Some((3, "three".into())));
    host.receive(RelayMessage::Subscribed { log_id: 7 });
    host.receive_snapshot(vec![change("a", 4, Some("four"))], 4);
    host.accept();
    assert_eq!((host.value("a"), host.subscriber.stats().checksum_mismatches), (Some((4, "four".into())), 1));
}

#[test]
fn requests_snapshot_of_scope_changed_while_applying() {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    host.receive(changes(3, 4, vec![change("a", 4, Some("four"))]));
    host.subscriber.set_scope(Scope::of([Topic::Shard(5)]), &mut vec![]);
    host.accept();
    host.disconnect();
    assert!(matches!(host.connect(), SubscriberMessage::Subscribe { from: Index(0), .. }));
}

#[test]
fn queues_changes_while_values_of_earlier_connection_are_applied() {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    host.receive(changes(3, 9, vec![change("a", 9, Some("nine"))]));
    host.disconnect();
    host.connect();
    // The new relay is behind: it sends a change older than the one that the host is applying.
    host.receive(changes(3, 8, vec![change("a", 8, Some("eight"))]));
    let actions = host.accept();
    assert_eq!(acknowledgement(actions), Some((8, vec![])), "up to the version of that relay");
    assert_eq!((host.value("a"), host.followed().is_some()), (Some((9, "nine".into())), true));
}

#[test]
fn persists_state_at_most_once_per_interval() {
    let mut host = TestHost::following(&[("a", 1, "one")], 1);
    host.actions.clear();
    for n in 2..=100 {
        host.receive(changes(n - 1, n, vec![change("a", n, Some("x"))]));
        host.accept();
        host.now.0 += 50_000;
    }
    let writes = host.actions.iter().filter(|a| matches!(a, SubscriberAction::Persist(_))).count();
    assert_eq!(writes, 0, "within 5 s of the first");
    host.advance_time(1);
    assert!(host.persisted().is_some());
}
