//! The stored and sent forms, byte for byte, as files under `tests/golden/`.
//!
//! Each value is encoded and must give exactly the file; the file is decoded and must give the value; what was decoded is
//! encoded again and must give the file. Enum variants and struct fields keep their order, which is all that the encoding
//! knows of them.
#![allow(clippy::unwrap_used)]
mod common;

use cluster_types::{Index, Time};
use common::{change, Front};
use config_distribution::stored::{decode, encode, Stored};
use config_distribution::{
    Catalogue, Change, Class, FromRelay, Key, Lag, Order, Put, Refusal, Report, Scope, Subscriber, ToRelay,
    Topic, Where,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::time::Duration;

const LINEAGE: u64 = 0x0123_4567_89ab_cdef;

fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &[u8], value: &T) {
    assert_eq!(postcard::to_stdvec(value).unwrap(), file, "encoding {value:?}");
    let (decoded, rest) = postcard::take_from_bytes::<T>(file).unwrap();
    assert_eq!(rest, [0u8; 0], "nothing follows the value");
    assert_eq!(&decoded, value);
    assert_eq!(postcard::to_stdvec(&decoded).unwrap(), file);
}

/// One topic of each kind.
fn topics() -> [Topic; 5] {
    [
        Topic::Fleet,
        Topic::Region("region-a".into()),
        Topic::Zone("zone-a".into()),
        Topic::Shard(70_000),
        Topic::Volume("00000000000000aa".into()),
    ]
}

/// One value in each topic, of both classes.
fn values() -> Vec<Change> {
    let one = |(n, topic): (usize, Topic)| Change {
        version: Index(300 + n as u64),
        class: if matches!(topic, Topic::Shard(_)) { Class::Primary } else { Class::Configuration },
        key: Key::new(topic, &format!("key-{n}")),
        value: Some(vec![n as u8; n * 40].into()),
    };
    topics().into_iter().enumerate().map(one).collect()
}

/// The same, and a withdrawn key.
fn with_withdrawal() -> Vec<Change> {
    let mut changes = values();
    changes.push(Change { version: Index(u64::MAX), ..change("gone", 0, None) });
    changes
}

fn refusal() -> Refusal {
    Refusal {
        key: Key::new(Topic::Zone("zone-a".into()), "limit"),
        version: Index(290),
        why: "über 10".into(),
    }
}

fn report() -> Report {
    Report {
        relay: "relay-1".into(),
        number: 1_700_000_000_000_000,
        applied: Index(305),
        fronts: 200,
        behind: 2,
        worst: vec![
            Lag { front: "front-1".into(), owes: Index(300), why: "it is to be sent it".into() },
            Lag { front: "front-2".into(), owes: Index(304), why: String::new() },
        ],
        refusing: 1,
        refused: vec![("front-3".into(), refusal())],
    }
}

fn order() -> Order {
    let put = |c: Change| Put { class: c.class, key: c.key, value: c.value };
    Order { puts: with_withdrawal().into_iter().map(put).collect() }
}

fn stored(scope: Scope) -> Stored {
    let (upto, highest) = (Index(304), Index(305));
    Stored { lineage: LINEAGE, scope, upto, highest, entries: values(), refused: vec![refusal()] }
}

#[test]
fn stored_form_is_held() {
    let file = include_bytes!("golden/stored_topics.bin");
    let value = stored(Scope::of(topics()));
    assert_eq!(encode(&value), file);
    assert_eq!(decode(file).unwrap(), value);
    assert_eq!(encode(&decode(file).unwrap()), file);
    assert_eq!(file[..6], *b"chgs\x00\x01", "the header: magic and form");
}

#[test]
fn stored_form_of_an_empty_state_is_held() {
    let file = include_bytes!("golden/stored_empty.bin");
    let (upto, highest) = (Index(0), Index(0));
    let value =
        Stored { lineage: 0, scope: Scope::Everything, upto, highest, entries: vec![], refused: vec![] };
    assert_eq!(encode(&value), file);
    assert_eq!(decode(file).unwrap(), value);
    assert_eq!(encode(&decode(file).unwrap()), file);
}

#[test]
fn file_written_by_a_subscriber_is_held_and_read_again() {
    let file = include_bytes!("golden/stored_by_subscriber.bin");
    let mut front = Front::following(&[("a", 3, "one"), ("b", 5, "two")], 6);
    let changes = vec![change("a", 8, Some("bad"))];
    front.say(FromRelay::Changes { from: Index(6), upto: Index(8), changes });
    front.refuse("a", "no");
    front.pass_time(6);
    assert_eq!(front.kept().unwrap(), file);
    let (subscriber, fault) = Subscriber::new(common::scope(), (3, 3), (Time(1), 1), Some(file));
    assert_eq!((fault, subscriber.held().lineage(), subscriber.held().len()), (None, 7, 2));
}

#[test]
fn order_is_held() {
    assert_golden(include_bytes!("golden/order.bin"), &order());
    assert_golden(include_bytes!("golden/order_empty.bin"), &Order::default());
}

#[test]
fn subscriber_messages_are_held() {
    let subscribe = |scope| ToRelay::Subscribe { lineage: LINEAGE, scope, from: Index(300) };
    assert_golden(include_bytes!("golden/to_relay_subscribe_topics.bin"), &subscribe(Scope::of(topics())));
    assert_golden(include_bytes!("golden/to_relay_subscribe_everything.bin"), &subscribe(Scope::Everything));
    let decided = ToRelay::Decided { upto: Index(301), refused: vec![refusal()] };
    assert_golden(include_bytes!("golden/to_relay_decided.bin"), &decided);
    assert_golden(include_bytes!("golden/to_relay_next.bin"), &ToRelay::Next);
    assert_golden(include_bytes!("golden/to_relay_report.bin"), &ToRelay::Report(report()));
}

#[test]
fn relay_messages_are_held() {
    let subscribed = FromRelay::Subscribed { lineage: LINEAGE };
    assert_golden(include_bytes!("golden/from_relay_subscribed.bin"), &subscribed);
    assert_golden(include_bytes!("golden/from_relay_later.bin"), &FromRelay::Later);
    let changes = FromRelay::Changes { from: Index(299), upto: Index(305), changes: with_withdrawal() };
    assert_golden(include_bytes!("golden/from_relay_changes.bin"), &changes);
    let piece = |first, last, entries| FromRelay::Piece { base: Index(305), first, last, entries };
    assert_golden(include_bytes!("golden/from_relay_piece_first.bin"), &piece(true, false, values()));
    assert_golden(include_bytes!("golden/from_relay_piece_last.bin"), &piece(false, true, vec![]));
    let alone = Some(Duration::new(9, 500_000_000));
    let alive = FromRelay::Alive { upto: Index(305), sum: Some(LINEAGE), alone };
    assert_golden(include_bytes!("golden/from_relay_alive.bin"), &alive);
    let plain = FromRelay::Alive { upto: Index(0), sum: None, alone: None };
    assert_golden(include_bytes!("golden/from_relay_alive_plain.bin"), &plain);
    let quiet = Report { worst: vec![], refused: vec![], ..report() };
    assert_golden(include_bytes!("golden/from_relay_fleet.bin"), &FromRelay::Fleet(vec![report(), quiet]));
}

#[test]
fn reports_and_where_a_version_is_in_force_are_held() {
    assert_golden(include_bytes!("golden/reports.bin"), &vec![report()]);
    let answer = Where {
        everywhere: false,
        fronts: 2_300,
        lags: report().worst,
        more: 92,
        relays: vec!["relay-2".into()],
        silent: vec!["relay-3".into(), "relay-4".into()],
        refused: report().refused,
        refusing: 3,
    };
    assert_golden(include_bytes!("golden/where.bin"), &answer);
    let everywhere = Where { everywhere: true, fronts: 1, ..Where::default() };
    assert_golden(include_bytes!("golden/where_everywhere.bin"), &everywhere);
}

/// The sums are sent too: a relay and a subscriber of different releases must find the same ones.
#[test]
fn sums_over_a_scope_and_names_of_keys_are_held() {
    let mut catalogue = Catalogue::new(LINEAGE);
    catalogue.take(&values(), Index(304));
    let one = |topic: Topic| vec![Scope::of([topic])];
    let scopes = [vec![Scope::Everything], topics().into_iter().flat_map(one).collect()].concat();
    let sums = scopes.iter().map(|scope| format!("{:016x}\n", catalogue.sum(scope)));
    assert_eq!(sums.collect::<String>(), include_str!("golden/sums.txt"));
    let names = values().into_iter().map(|change| format!("{}\n", change.key));
    assert_eq!(names.collect::<String>(), include_str!("golden/key_names.txt"));
}
