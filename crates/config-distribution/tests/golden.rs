//! The encodings on disk and on the wire match the files under `tests/golden/` byte for byte.
//!
//! Each value is encoded and compared to the file; the file is decoded and compared to the value; the decoded value is
//! encoded again and compared to the file. The encoding depends on the order of enum variants and struct fields, which must
//! not change. The files are older than the present names of the types, so their names differ.
#![allow(clippy::unwrap_used)]
mod common;

use cluster_types::{Index, Time};
use common::{change, config, TestHost};
use config_distribution::persisted::{decode, encode, PersistedState};
use config_distribution::{
    Catalogue, Change, Class, GatewayRejection, Key, Lag, Put, Rejection, RelayMessage, Report,
    RolloutStatus, Scope, Subscriber, SubscriberMessage, Topic, WriteBatch,
};
use golden_files::GoldenFiles;
use std::time::Duration;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));
const LOG_ID: u64 = 0x0123_4567_89ab_cdef;

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
    let value = |(number, topic): (usize, Topic)| Change {
        version: Index(300 + number as u64),
        class: if matches!(topic, Topic::Shard(_)) { Class::Primary } else { Class::Configuration },
        key: Key::new(topic, &format!("key-{number}")),
        value: Some(vec![number as u8; number * 40].into()),
    };
    topics().into_iter().enumerate().map(value).collect()
}

/// The same values, and a deleted key.
fn values_and_deletion() -> Vec<Change> {
    let mut changes = values();
    changes.push(Change { version: Index(u64::MAX), ..change("gone", 0, None) });
    changes
}

fn rejection() -> Rejection {
    let key = Key::new(Topic::Zone("zone-a".into()), "limit");
    Rejection { key, version: Index(290), reason: "über 10".into() }
}

fn report() -> Report {
    let lag = |gateway: &str, first_pending, reason: &str| Lag {
        gateway: gateway.into(),
        first_pending: Index(first_pending),
        reason: reason.into(),
    };
    Report {
        relay: "relay-1".into(),
        sequence: 1_700_000_000_000_000,
        applied: Index(305),
        gateways: 200,
        lagging: 2,
        lags: vec![lag("front-1", 300, "it is to be sent it"), lag("front-2", 304, "")],
        rejecting: 1,
        rejections: vec![GatewayRejection { gateway: "front-3".into(), rejection: rejection() }],
    }
}

fn batch() -> WriteBatch {
    let put = |Change { class, key, value, .. }| Put { class, key, value };
    WriteBatch { puts: values_and_deletion().into_iter().map(put).collect() }
}

fn assert_matches_file(file: &[u8], state: &PersistedState) {
    assert_eq!(encode(state), file);
    assert_eq!(&decode(file).unwrap(), state);
    assert_eq!(encode(&decode(file).unwrap()), file);
}

#[test]
fn persisted_state_matches_golden_file() {
    let file = include_bytes!("golden/stored_topics.bin");
    let state = PersistedState {
        log_id: LOG_ID,
        scope: Scope::of(topics()),
        up_to: Index(304),
        highest: Index(305),
        entries: values(),
        rejected: vec![rejection()],
    };
    assert_matches_file(file, &state);
    assert_eq!(file[..6], *b"chgs\x00\x01", "the header: magic and format version");
}

#[test]
fn empty_persisted_state_matches_golden_file() {
    let state = PersistedState {
        log_id: 0,
        scope: Scope::Everything,
        up_to: Index(0),
        highest: Index(0),
        entries: vec![],
        rejected: vec![],
    };
    assert_matches_file(include_bytes!("golden/stored_empty.bin"), &state);
}

#[test]
fn subscriber_writes_and_reads_golden_file() {
    let file = include_bytes!("golden/stored_by_subscriber.bin");
    let mut host = TestHost::following(&[("a", 3, "one"), ("b", 5, "two")], 6);
    let changes = vec![change("a", 8, Some("bad"))];
    host.receive(RelayMessage::Changes { from: Index(6), up_to: Index(8), changes });
    host.reject("a", "no");
    host.advance_time(6);
    assert_eq!(host.persisted().unwrap(), file);
    let (subscriber, error) = Subscriber::new(config(common::scope(), 3), Time(1), Some(file));
    assert_eq!((error, subscriber.state().log_id(), subscriber.state().len()), (None, 7, 2));
}

#[test]
fn write_batch_matches_golden_files() {
    GOLDEN.assert_postcard("order.bin", &batch());
    GOLDEN.assert_postcard("order_empty.bin", &WriteBatch::default());
}

#[test]
fn subscriber_messages_match_golden_files() {
    let subscribe = |scope| SubscriberMessage::Subscribe { log_id: LOG_ID, scope, from: Index(300) };
    GOLDEN.assert_postcard("to_relay_subscribe_topics.bin", &subscribe(Scope::of(topics())));
    GOLDEN.assert_postcard("to_relay_subscribe_everything.bin", &subscribe(Scope::Everything));
    let acknowledge = SubscriberMessage::Acknowledge { up_to: Index(301), rejected: vec![rejection()] };
    GOLDEN.assert_postcard("to_relay_decided.bin", &acknowledge);
    GOLDEN.assert_postcard("to_relay_next.bin", &SubscriberMessage::NextChunk);
    GOLDEN.assert_postcard("to_relay_report.bin", &SubscriberMessage::Report(report()));
}

#[test]
fn relay_messages_match_golden_files() {
    let subscribed = RelayMessage::Subscribed { log_id: LOG_ID };
    GOLDEN.assert_postcard("from_relay_subscribed.bin", &subscribed);
    GOLDEN.assert_postcard("from_relay_later.bin", &RelayMessage::RetryLater);
    let changes =
        RelayMessage::Changes { from: Index(299), up_to: Index(305), changes: values_and_deletion() };
    GOLDEN.assert_postcard("from_relay_changes.bin", &changes);
    let base = Index(305);
    let chunk = |is_first, is_last, entries| RelayMessage::SnapshotChunk { base, is_first, is_last, entries };
    GOLDEN.assert_postcard("from_relay_piece_first.bin", &chunk(true, false, values()));
    GOLDEN.assert_postcard("from_relay_piece_last.bin", &chunk(false, true, vec![]));
    let isolated_for = Some(Duration::new(9, 500_000_000));
    let heartbeat = RelayMessage::Heartbeat { up_to: Index(305), checksum: Some(LOG_ID), isolated_for };
    GOLDEN.assert_postcard("from_relay_alive.bin", &heartbeat);
    let plain = RelayMessage::Heartbeat { up_to: Index(0), checksum: None, isolated_for: None };
    GOLDEN.assert_postcard("from_relay_alive_plain.bin", &plain);
    let settled = Report { lags: vec![], rejections: vec![], ..report() };
    let reports = RelayMessage::Reports(vec![report(), settled]);
    GOLDEN.assert_postcard("from_relay_fleet.bin", &reports);
}

#[test]
fn reports_and_rollout_status_match_golden_files() {
    GOLDEN.assert_postcard("reports.bin", &vec![report()]);
    let status = RolloutStatus {
        is_complete: false,
        gateways: 2_300,
        lags: report().lags,
        unnamed_lagging: 92,
        lagging_relays: vec!["relay-2".into()],
        silent_relays: vec!["relay-3".into(), "relay-4".into()],
        rejections: report().rejections,
        rejecting: 3,
    };
    GOLDEN.assert_postcard("where.bin", &status);
    let complete = RolloutStatus { is_complete: true, gateways: 1, ..RolloutStatus::default() };
    GOLDEN.assert_postcard("where_everywhere.bin", &complete);
}

/// Checksums are exchanged: a relay and a subscriber of different releases must calculate the same ones.
#[test]
fn scope_checksums_and_key_names_match_golden_files() {
    let mut catalogue = Catalogue::new(LOG_ID);
    catalogue.merge(&values(), Index(304));
    let scopes = [Scope::Everything].into_iter().chain(topics().map(|topic| Scope::of([topic])));
    let checksums = scopes.map(|scope| format!("{:016x}\n", catalogue.checksum(&scope)));
    assert_eq!(checksums.collect::<String>(), include_str!("golden/sums.txt"));
    let names = values().into_iter().map(|change| format!("{}\n", change.key));
    assert_eq!(names.collect::<String>(), include_str!("golden/key_names.txt"));
}
