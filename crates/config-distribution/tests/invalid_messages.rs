//! Messages that are malformed, old, or meant for another subscriber: they have no effect on a subscriber, and are counted.
mod common;
use cluster_types::Index;
use common::{change, changes, TestHost};
use config_distribution::{Change, Key, RelayMessage, Topic, MAX_VALUE_BYTES};
use rstest::rstest;

#[rstest]
#[case::replayed(changes(0, 3, vec![change("a", 1, Some("one"))]))]
#[case::older_range(changes(1, 2, vec![change("a", 2, Some("old"))]))]
#[case::older_value_in_newer_message(changes(1, 4, vec![change("a", 2, Some("old"))]))]
#[case::gap(changes(4, 6, vec![change("a", 5, Some("new"))]))]
#[case::version_after_range(changes(3, 4, vec![change("a", 5, Some("new"))]))]
#[case::version_before_range(changes(3, 4, vec![change("a", 3, Some("new"))]))]
#[case::reversed_range(changes(3, 2, vec![]))]
#[case::outside_scope(changes(3, 4, vec![Change { key: Key::new(Topic::Shard(2), "box"), ..change("a", 4, Some("x")) }]))]
#[case::oversized(changes(3, 4, vec![Change { value: Some(vec![0; MAX_VALUE_BYTES + 1].into()), ..change("a", 4, None) }]))]
#[case::long_name(changes(3, 4, vec![Change { key: Key::new(Topic::Fleet, &"x".repeat(65)), ..change("a", 4, Some("x")) }]))]
#[case::unexpected_chunk(RelayMessage::SnapshotChunk { base: Index(9), is_first: false, is_last: true, entries: vec![] })]
#[case::subscribed_twice(RelayMessage::Subscribed { log_id: 7 })]
#[case::another_log(RelayMessage::Subscribed { log_id: 9 })]
fn invalid_message_has_no_effect(#[case] message: RelayMessage) {
    let mut host = TestHost::following(&[("a", 3, "three")], 3);
    let (persisted, errors) = (host.persisted(), host.subscriber.stats().protocol_errors);
    let is_newer = matches!(&message, RelayMessage::Changes { up_to, .. } if *up_to == Index(4));
    host.receive(message);
    host.accept();
    assert_eq!(host.value("a"), Some((3, "three".into())));
    assert_eq!(host.subscriber.state().len(), 1);
    assert_eq!(host.persisted(), persisted);
    let counted = host.subscriber.stats().protocol_errors - errors;
    // An old value in a newer message is ignored, and the message is not counted.
    assert!(counted == 1 || is_newer && host.followed().is_some(), "counted {counted} times");
}
