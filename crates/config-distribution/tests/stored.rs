//! What a front keeps: read again whole, or said to be at fault and dropped.
#![allow(clippy::unwrap_used)]
mod common;
use cluster_types::{Index, Time};
use common::{change, scope, Front};
use config_distribution::{Action, Event, FromRelay, Key, Scope, StoredFault, Subscriber, ToRelay, Topic};
use proptest::prelude::*;

fn kept() -> Vec<u8> {
    let mut front = Front::following(&[("a", 3, "one"), ("b", 5, "two")], 6);
    front.kept().unwrap()
}

fn read(bytes: &[u8]) -> (Subscriber, Option<StoredFault>) {
    Subscriber::new(scope(), (1, 3), (Time(1), 1), Some(bytes))
}

#[test]
fn what_was_kept_is_put_in_force_and_only_what_came_since_is_asked_for() {
    let (mut subscriber, fault) = read(&kept());
    assert_eq!(fault, None);
    let mut out = vec![];
    subscriber.begin(&mut out);
    assert!(matches!(&out[..], [Action::Decide { whole: true, changes }] if changes.len() == 2));
    subscriber.handle(Time(1), Event::Decided { refused: vec![] }, &mut out);
    let asked = common::asked(&mut subscriber);
    assert!(matches!(asked, ToRelay::Subscribe { lineage: 7, from: Index(6), .. }), "{asked:?}");
}

#[test]
fn another_scope_than_what_was_kept_is_asked_for_whole() {
    let other = Scope::of([Topic::Shard(9)]);
    let (mut subscriber, fault) = Subscriber::new(other, (1, 3), (Time(1), 1), Some(&kept()));
    assert_eq!(fault, None);
    assert_eq!(subscriber.held().len(), 2, "what concerns the fleet stays");
    let asked = common::asked(&mut subscriber);
    assert!(matches!(asked, ToRelay::Subscribe { from: Index(0), .. }), "{asked:?}");
}

#[test]
fn what_was_refused_is_asked_for_again_and_nothing_older_comes_in_its_place() {
    let mut front = Front::following(&[("a", 3, "one")], 6);
    let changes = vec![change("a", 8, Some("bad"))];
    front.say(FromRelay::Changes { from: Index(6), upto: Index(8), changes });
    front.refuse("a", "no");
    front.pass_time(6);
    let (mut subscriber, fault) = read(&front.kept().unwrap());
    assert_eq!(fault, None);
    let mut out = vec![];
    subscriber.begin(&mut out);
    subscriber.handle(Time(1), Event::Decided { refused: vec![] }, &mut out);
    let mut front = Front::of(subscriber);
    assert!(matches!(front.connect(), ToRelay::Subscribe { from: Index(0), .. }));
    let entries = vec![change("a", 2, Some("older"))];
    front.say(FromRelay::Piece { base: Index(7), first: true, last: true, entries });
    assert_eq!(front.follows(), None, "a relay that is behind what was held before the start is left");
    let held = front.subscriber.held().get(&Key::new(Topic::Fleet, "a")).map(|(v, _)| v);
    assert_eq!(held, Some(Index(3)));
}

#[test]
fn a_newer_form_is_said() {
    let mut bytes = kept();
    bytes[5] = 2;
    assert_eq!(read(&bytes).1, Some(StoredFault::Form(2)));
}

#[test]
fn a_foreign_file_is_said() {
    assert_eq!(read(b"{\"zone\": 1}").1, Some(StoredFault::Foreign));
    assert_eq!(read(b"").1, Some(StoredFault::Torn));
}

proptest! {
    #[test]
    fn a_torn_file_is_said_and_dropped(at in 0usize..1_000) {
        let bytes = kept();
        let torn = &bytes[..at % bytes.len()];
        let (subscriber, fault) = read(torn);
        prop_assert!(fault.is_some());
        prop_assert!(subscriber.held().is_empty());
    }

    #[test]
    fn a_damaged_file_is_said_and_dropped(at in 0usize..1_000, bit in 0u8..8) {
        let mut bytes = kept();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let (subscriber, fault) = read(&bytes);
        prop_assert!(fault.is_some());
        prop_assert!(subscriber.held().is_empty());
    }

    #[test]
    fn nothing_from_a_disk_makes_it_panic(body in prop::collection::vec(any::<u8>(), 0..300)) {
        // With a sum that is right, so that what is inside is read.
        let mut bytes = b"chgs\x00\x01".to_vec();
        bytes.extend(&body);
        let sum = xxhash_rust::xxh3::xxh3_64(&bytes);
        bytes.extend(sum.to_be_bytes());
        let (mut subscriber, _) = read(&bytes);
        subscriber.begin(&mut vec![]);
    }
}
