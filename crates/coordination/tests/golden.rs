//! Holds the bytes of what members send to each other over TCP, and of what the replicated state machine reads from the log and
//! puts into its snapshots.
//!
//! Members of different versions run side by side: none of these bytes may change.
#![allow(clippy::unwrap_used, clippy::expect_used)]
mod golden_support;

use cluster_types::Index;
use config_distribution::{
    GatewayRejection, Key, Lag, Rejection, RelayMessage, Report, SubscriberMessage, Topic,
};
use coordination::ledger::{Entry, Ledger, What};
use coordination::{frames, links, Measures, Seen};
use frames::Frame;
use golden_support::entries::{entries, order};
use golden_support::{golden, member};
use message_auth::{Keys, Opener, Sealer};
use std::cell::RefCell;

/// The channel of frames between members.
const MEMBERS: u8 = 1;
/// The channel of frames between relays and subscribers.
const RELAYS: u8 = 2;
const KEY: [u8; 32] = [7; 32];

/// Bytes as they stand in a golden file, which is read.
fn file(name: &str) -> Vec<u8> {
    std::fs::read(golden(&format!("{name}.bin"))).unwrap_or_default()
}

/// What a link carries: a length and a sealed envelope around `body`.
fn sent(channel: u8, body: &[u8]) -> Vec<u8> {
    let sealer = Sealer::new(Keys::new(KEY, None), member(1), 1 << 60)
        .on_channel(channel)
        .with_max_bytes(message_auth::MAX_FRAME_BYTES);
    let mut out = Vec::new();
    assert!(links::put(&mut out, Some(&member(2)), body, &RefCell::new(sealer)));
    out
}

/// The body that a link's bytes carry.
fn received(channel: u8, bytes: &[u8]) -> Vec<u8> {
    let (length, sealed) = bytes.split_at(4);
    assert_eq!(u32::from_be_bytes(length.try_into().unwrap()) as usize, sealed.len());
    let mut opener =
        Opener::new(Keys::new(KEY, None), member(2)).with_max_bytes(message_auth::MAX_FRAME_BYTES);
    let opened = opener.open_on(channel, sealed).unwrap();
    assert_eq!((opened.from, opened.incarnation), (member(1), 1 << 60));
    opened.body.to_vec()
}

/// Checks that a message goes out as the golden file, and that the file is read as that message.
fn check_frame<T>(name: &str, channel: u8, message: &T)
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let bytes = file(name);
    assert_eq!(sent(channel, &frames::write(message).unwrap()), bytes, "{name}: writing");
    let read: T = frames::read(&received(channel, &bytes)).unwrap();
    assert_eq!(&read, message, "{name}: reading");
    assert_eq!(sent(channel, &frames::write(&read).unwrap()), bytes, "{name}: writing what was read");
}

fn report() -> Report {
    let key = Key::new(Topic::Fleet, "settings");
    let rejection = Rejection { key, version: Index(299), reason: "no".into() };
    Report {
        relay: "control-1".into(),
        sequence: 1 << 50,
        applied: Index(300),
        gateways: 3,
        lagging: 1,
        lags: vec![Lag { gateway: "front-9".into(), first_pending: Index(298), reason: "slow".into() }],
        rejecting: 1,
        rejections: vec![GatewayRejection { gateway: "front-8".into(), rejection }],
    }
}

fn measures() -> Measures {
    let seen = Seen {
        hall: "h-1".into(),
        listed: true,
        died: false,
        cold: true,
        out: 300,
        last_send: Some(1_000_000),
        units: 70_000,
        failed: true,
    };
    Measures {
        whole: true,
        boxes: [("b-1".into(), seen), ("b-2".into(), Seen::default())].into(),
        reserved: 5_000,
        volumes: [("00000000000000ff".into(), (4_000, [("b-1".into(), 2_000)].into()))].into(),
    }
}

#[test]
fn frames_between_members_keep_their_bytes() {
    let last = consensus::LogPosition { term: 6, index: 200 };
    let log = Frame::Log { life: 1 << 40, message: consensus::Message::VoteRequest { term: 7, last } };
    check_frame("frame.hello", MEMBERS, &Frame::Hello);
    check_frame("frame.log", MEMBERS, &log);
    check_frame("frame.forward", MEMBERS, &Frame::Forward { ticket: 300, what: What::Order(order()) });
    let measured = Frame::Measured { asked: 1 << 41, seen: Index(300), measures: Box::new(measures()) };
    check_frame("frame.measured", MEMBERS, &measured);
    check_frame("frame.lease", MEMBERS, &Frame::Lease { asked: 1 << 41, span: 3_000_000 });
    check_frame("frame.reports", MEMBERS, &Frame::Reports(vec![report()]));
}

#[test]
fn frames_between_relays_and_subscribers_keep_their_bytes() {
    check_frame("relay.next", RELAYS, &SubscriberMessage::NextChunk);
    check_frame("relay.later", RELAYS, &RelayMessage::RetryLater);
    let hello = file("relay.hello");
    assert_eq!(sent(RELAYS, &[]), hello);
    assert_eq!(received(RELAYS, &hello), b"");
}

#[test]
fn entries_of_the_state_machine_keep_their_bytes() {
    for (number, (name, by, what)) in (1..).zip(entries()) {
        let entry = Entry { at_ms: 1_700_000_000_000 + number, by: member(by), ticket: 299 + number, what };
        let bytes = file(&format!("entry.{name}"));
        assert_eq!(postcard::to_stdvec(&entry).unwrap(), bytes, "{name}: writing");
        let read: Entry = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, entry, "{name}: reading");
        assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes, "{name}: writing what was read");
    }
}

#[test]
fn snapshots_of_the_state_machine_keep_their_bytes() {
    let mut ledger = Ledger::new();
    for (number, (name, ..)) in (1..).zip(entries()) {
        ledger.apply(Index(number), &file(&format!("entry.{name}")));
        if !["drained.other", "staged", "tick", "config_change"].contains(&name) {
            continue;
        }
        let golden = file(&format!("snapshot.{name}"));
        assert_eq!(ledger.snapshot().unwrap(), golden, "{name}: writing");
        let read = Ledger::restore(&golden).unwrap();
        assert_eq!(
            (read.applied, &read.desk, read.unread),
            (ledger.applied, &ledger.desk, 0),
            "{name}: reading"
        );
        assert_eq!(read.snapshot().unwrap(), golden, "{name}: writing what was read");
    }
}
