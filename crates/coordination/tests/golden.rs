//! Compares with golden files the bytes of the messages that members send to each other over TCP, of log entries, and of
//! snapshots of the replicated state machine.
//!
//! Members of different versions run in the same group, so these bytes must not change.
#![allow(clippy::unwrap_used, clippy::expect_used)]
mod golden_support;

use cluster_types::Index;
use config_distribution::{
    GatewayRejection, Key, Lag, Rejection, RelayMessage, Report, SubscriberMessage, Topic,
};
use coordination::frame::{decode, encode, Frame};
use coordination::network_thread::framing::{append_frame, DISTRIBUTION_CHANNEL, MEMBER_CHANNEL};
use coordination::state_machine::{Command, Entry, StateMachine};
use coordination::{BackendMeasurement, Measurements, VolumeMeasurement};
use golden_support::entries::{config_change, entries};
use golden_support::{member, GOLDEN};
use message_auth::{Keys, Opener, Sealer};
use std::cell::RefCell;

const KEY: [u8; 32] = [7; 32];

/// Reads the bytes of a golden file.
fn golden_bytes(name: &str) -> Vec<u8> {
    GOLDEN.bytes(&format!("{name}.bin"))
}

/// Encodes `body` as it is sent on a link: a length and a sealed envelope.
fn seal_frame(channel: u8, body: &[u8]) -> Vec<u8> {
    let sealer = Sealer::new(Keys::new(KEY, None), member(1), 1 << 60)
        .on_channel(channel)
        .with_max_bytes(message_auth::MAX_FRAME_BYTES);
    let mut out = Vec::new();
    append_frame(&mut out, Some(&member(2)), body, &RefCell::new(sealer)).unwrap();
    out
}

/// Decodes the body from the bytes sent on a link.
fn open_frame(channel: u8, bytes: &[u8]) -> Vec<u8> {
    let (length, sealed) = bytes.split_at(4);
    assert_eq!(u32::from_be_bytes(length.try_into().unwrap()) as usize, sealed.len());
    let mut opener =
        Opener::new(Keys::new(KEY, None), member(2)).with_max_bytes(message_auth::MAX_FRAME_BYTES);
    let opened = opener.open_on(channel, sealed).unwrap();
    assert_eq!((opened.from, opened.incarnation), (member(1), 1 << 60));
    opened.body.to_vec()
}

/// Checks that a message is encoded as in the golden file, and that the file is decoded to the message.
fn check_frame<T>(name: &str, channel: u8, message: &T)
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let bytes = golden_bytes(name);
    assert_eq!(seal_frame(channel, &encode(message).unwrap()), bytes, "{name}: writing");
    let decoded: T = decode(&open_frame(channel, &bytes)).unwrap();
    assert_eq!(&decoded, message, "{name}: reading");
    assert_eq!(seal_frame(channel, &encode(&decoded).unwrap()), bytes, "{name}: writing what was read");
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

fn measurements() -> Measurements {
    let backend = BackendMeasurement {
        zone: "h-1".into(),
        is_listed: true,
        is_dead: false,
        is_warming_up: true,
        in_flight: 300,
        since_last_send_us: Some(1_000_000),
        units: 70_000,
        has_failed: true,
    };
    let volume = VolumeMeasurement { used: 4_000, servable_by: [("b-1".into(), 2_000)].into() };
    Measurements {
        is_complete: true,
        backends: [("b-1".into(), backend), ("b-2".into(), BackendMeasurement::default())].into(),
        max_reservation: 5_000,
        volumes: [("00000000000000ff".into(), volume)].into(),
    }
}

#[test]
fn member_frames_match_golden_files() {
    let last = consensus::LogPosition { term: 6, index: 200 };
    let log = Frame::Log { incarnation: 1 << 40, message: consensus::Message::VoteRequest { term: 7, last } };
    check_frame("frame.hello", MEMBER_CHANNEL, &Frame::Hello);
    check_frame("frame.log", MEMBER_CHANNEL, &log);
    check_frame(
        "frame.forward",
        MEMBER_CHANNEL,
        &Frame::Forward { ticket: 300, command: Command::ChangeConfig(config_change()) },
    );
    let measured = Frame::Measured {
        requested_at: 1 << 41,
        applied_index: Index(300),
        measurements: Box::new(measurements()),
    };
    check_frame("frame.measured", MEMBER_CHANNEL, &measured);
    check_frame("frame.lease", MEMBER_CHANNEL, &Frame::Lease { requested_at: 1 << 41, span_us: 3_000_000 });
    check_frame("frame.reports", MEMBER_CHANNEL, &Frame::Reports(vec![report()]));
}

#[test]
fn distribution_frames_match_golden_files() {
    check_frame("relay.next", DISTRIBUTION_CHANNEL, &SubscriberMessage::NextChunk);
    check_frame("relay.later", DISTRIBUTION_CHANNEL, &RelayMessage::RetryLater);
    let hello = golden_bytes("relay.hello");
    assert_eq!(seal_frame(DISTRIBUTION_CHANNEL, &[]), hello);
    assert_eq!(open_frame(DISTRIBUTION_CHANNEL, &hello), b"");
}

#[test]
fn log_entries_match_golden_files() {
    for (number, (name, by, command)) in (1..).zip(entries()) {
        let entry =
            Entry { at_ms: 1_700_000_000_000 + number, by: member(by), ticket: 299 + number, command };
        let bytes = golden_bytes(&format!("entry.{name}"));
        assert_eq!(postcard::to_stdvec(&entry).unwrap(), bytes, "{name}: writing");
        let read: Entry = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, entry, "{name}: reading");
        assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes, "{name}: writing what was read");
    }
}

#[test]
fn snapshots_match_golden_files() {
    let mut state = StateMachine::new();
    for (number, (name, ..)) in (1..).zip(entries()) {
        state.apply(Index(number), &golden_bytes(&format!("entry.{name}")));
        if !["drained.other", "staged", "tick", "config_change"].contains(&name) {
            continue;
        }
        let golden = golden_bytes(&format!("snapshot.{name}"));
        assert_eq!(state.snapshot().unwrap(), golden, "{name}: writing");
        let read = StateMachine::restore(&golden).unwrap();
        assert_eq!(
            (read.applied_index, &read.maintenance, read.undecodable_entries),
            (state.applied_index, &state.maintenance, 0),
            "{name}: reading"
        );
        assert_eq!(read.snapshot().unwrap(), golden, "{name}: writing what was read");
    }
}
