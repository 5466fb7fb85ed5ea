//! The persisted state of a subscriber: read completely, or rejected.
#![allow(clippy::unwrap_used)]
mod common;
use cluster_types::{Index, Time};
use common::{change, config, scope, TestHost};
use config_distribution::persisted::PersistedStateError;
use config_distribution::{
    Key, RelayMessage, Scope, Subscriber, SubscriberAction, SubscriberEvent, SubscriberMessage, Topic,
};
use proptest::prelude::*;

fn persisted_state() -> Vec<u8> {
    let host = TestHost::following(&[("a", 3, "one"), ("b", 5, "two")], 6);
    host.persisted().unwrap()
}

fn read_state(bytes: &[u8]) -> (Subscriber, Option<PersistedStateError>) {
    Subscriber::new(config(scope(), 1), Time(1), Some(bytes))
}

#[test]
fn applies_persisted_values_and_requests_only_later_changes() {
    let (mut subscriber, error) = read_state(&persisted_state());
    assert_eq!(error, None);
    let mut actions = vec![];
    subscriber.start(&mut actions);
    assert!(
        matches!(&actions[..], [SubscriberAction::Apply { is_snapshot: true, changes }] if changes.len() == 2)
    );
    subscriber.handle(Time(1), SubscriberEvent::ApplyFinished { rejected: vec![] }, &mut actions);
    let request = common::first_request(&mut subscriber);
    assert!(matches!(request, SubscriberMessage::Subscribe { log_id: 7, from: Index(6), .. }), "{request:?}");
}

#[test]
fn requests_snapshot_when_scope_differs_from_persisted() {
    let other = Scope::of([Topic::Shard(9)]);
    let (mut subscriber, error) = Subscriber::new(config(other, 1), Time(1), Some(&persisted_state()));
    assert_eq!(error, None);
    assert_eq!(subscriber.state().len(), 2, "values of the fleet stay");
    let request = common::first_request(&mut subscriber);
    assert!(matches!(request, SubscriberMessage::Subscribe { from: Index(0), .. }), "{request:?}");
}

#[test]
fn requests_rejected_values_again_and_accepts_nothing_older() {
    let mut host = TestHost::following(&[("a", 3, "one")], 6);
    let changes = vec![change("a", 8, Some("bad"))];
    host.receive(RelayMessage::Changes { from: Index(6), up_to: Index(8), changes });
    host.reject("a", "no");
    host.advance_time(6);
    let (mut subscriber, error) = read_state(&host.persisted().unwrap());
    assert_eq!(error, None);
    let mut actions = vec![];
    subscriber.start(&mut actions);
    subscriber.handle(Time(1), SubscriberEvent::ApplyFinished { rejected: vec![] }, &mut actions);
    let mut host = TestHost::with_subscriber(subscriber);
    assert!(matches!(host.connect(), SubscriberMessage::Subscribe { from: Index(0), .. }));
    let entries = vec![change("a", 2, Some("older"))];
    host.receive(RelayMessage::SnapshotChunk { base: Index(7), is_first: true, is_last: true, entries });
    assert_eq!(host.followed(), None, "a relay that is behind the persisted state is left");
    let held = host.subscriber.state().get(&Key::new(Topic::Fleet, "a")).map(|(version, _)| version);
    assert_eq!(held, Some(Index(3)));
}

#[test]
fn rejects_newer_format_version() {
    let mut bytes = persisted_state();
    bytes[5] = 2;
    assert_eq!(read_state(&bytes).1, Some(PersistedStateError::UnsupportedVersion(2)));
}

#[test]
fn rejects_file_of_another_program() {
    assert_eq!(read_state(b"{\"zone\": 1}").1, Some(PersistedStateError::UnknownFile));
    assert_eq!(read_state(b"").1, Some(PersistedStateError::Corrupt));
}

proptest! {
    #[test]
    fn rejects_truncated_file(at in 0usize..1_000) {
        let bytes = persisted_state();
        let truncated = &bytes[..at % bytes.len()];
        let (subscriber, error) = read_state(truncated);
        prop_assert!(error.is_some());
        prop_assert!(subscriber.state().is_empty());
    }

    #[test]
    fn rejects_damaged_file(at in 0usize..1_000, bit in 0u8..8) {
        let mut bytes = persisted_state();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let (subscriber, error) = read_state(&bytes);
        prop_assert!(error.is_some());
        prop_assert!(subscriber.state().is_empty());
    }

    #[test]
    fn handles_any_bytes_with_correct_checksum(body in prop::collection::vec(any::<u8>(), 0..300)) {
        // The checksum is correct, so that the content is decoded.
        let mut bytes = b"chgs\x00\x01".to_vec();
        bytes.extend(&body);
        let checksum = xxhash_rust::xxh3::xxh3_64(&bytes);
        bytes.extend(checksum.to_be_bytes());
        let (mut subscriber, _error) = read_state(&bytes);
        subscriber.start(&mut vec![]);
    }
}
