//! Tests that the wire format doesn't change: each file under `golden/` is one message signed with a fixed key.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::MemberId;
use golden_files::GoldenFiles;
use message_auth::{new_incarnation, Keys, Opened, Opener, Rejection, Sealer, MAX_FRAME_BYTES};
use rstest::rstest;
use std::time::Duration;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));
const KEY: [u8; 32] = *b"a key of 32 bytes for the golden";
const NEXT_KEY: [u8; 32] = *b"another key, likewise of 32 byte";
const SENDER_INCARNATION: u64 = 1_800_000_000_000 << 20;
const RECEIVER_INCARNATION: u64 = (1_800_000_000_000 << 20) + 1;

fn keys() -> Keys {
    Keys::new(KEY, None)
}

fn receiver() -> MemberId {
    "front-2".into()
}

fn sealer() -> Sealer {
    Sealer::new(keys(), "front-1".into(), SENDER_INCARNATION)
}

fn opener() -> Opener {
    Opener::new(keys(), receiver()).with_incarnation(RECEIVER_INCARNATION)
}

/// The message that the receiver is expected to decode.
fn opened(sequence: u64, is_fresh: bool, body: &[u8]) -> Opened {
    let from = "front-1".into();
    Opened { from, incarnation: SENDER_INCARNATION, sequence, is_fresh, body: body.to_vec() }
}

#[test]
fn broadcast_matches_golden_file() {
    let bytes = GOLDEN.bytes("broadcast.bin");
    assert_eq!(sealer().seal(None, b"body").unwrap(), bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(1, false, b"body")));
    assert_eq!(bytes[..3], *b"LR\x01");
}

#[rstest]
#[case("addressed_any_incarnation.bin", None, false)]
#[case("addressed_known_incarnation.bin", Some(RECEIVER_INCARNATION), true)]
fn addressed_message_matches_golden_file(
    #[case] name: &str,
    #[case] to: Option<u64>,
    #[case] is_fresh: bool,
) {
    let bytes = GOLDEN.bytes(name);
    assert_eq!(sealer().seal_to(&receiver(), to, b"body").unwrap(), bytes);
    let mut informed_sealer = sealer();
    if let Some(incarnation) = to {
        informed_sealer.learn_incarnation(&receiver(), incarnation);
    }
    assert_eq!(informed_sealer.seal(Some(&receiver()), b"body").unwrap(), bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(1, is_fresh, b"body")));
}

#[test]
fn frames_on_lowest_and_highest_stream_channel_match_golden_files() {
    for (name, channel) in [("stream_channel_1.bin", 1), ("stream_channel_15.bin", 15)] {
        let bytes = GOLDEN.bytes(name);
        let mut sealer = sealer().on_channel(channel).with_max_bytes(MAX_FRAME_BYTES);
        sealer.learn_incarnation(&receiver(), RECEIVER_INCARNATION);
        assert_eq!(sealer.seal(Some(&receiver()), &[0xab; 1_500]).unwrap(), bytes);
        let mut opener = opener().with_max_bytes(MAX_FRAME_BYTES);
        assert_eq!(opener.open_on(channel, &bytes), Ok(opened(1, true, &[0xab; 1_500])));
    }
}

#[test]
fn empty_body_with_two_byte_sequence_number_matches_golden_file() {
    let bytes = GOLDEN.bytes("empty_body_number_200.bin");
    let mut sealer = sealer();
    let sealed = (0..200).map(|_| sealer.seal(Some(&receiver()), b"").unwrap()).last().unwrap();
    assert_eq!(sealed, bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(200, false, b"")));
}

#[test]
fn messages_under_each_rotation_key_match_golden_files() {
    let accepting_next = keys().accept_next(NEXT_KEY);
    let rotated = accepting_next.rotate();
    for (name, keys) in [("broadcast.bin", &accepting_next), ("rotated_key.bin", &rotated)] {
        let bytes = GOLDEN.bytes(name);
        let mut sealer = Sealer::new(keys.clone(), "front-1".into(), SENDER_INCARNATION);
        assert_eq!(sealer.seal(None, b"body").unwrap(), bytes);
        for keys in [&accepting_next, &rotated] {
            let mut opener = Opener::new(keys.clone(), receiver());
            assert_eq!(opener.open(&bytes), Ok(opened(1, false, b"body")));
        }
    }
    let mut retired = Opener::new(rotated.retire(), receiver());
    assert_eq!(retired.open(&GOLDEN.bytes("broadcast.bin")), Err(Rejection::Forged));
}

#[test]
fn incarnation_has_documented_layout() {
    assert_eq!(new_incarnation(Duration::from_millis(1_800_000_000_123), 0), 1_800_000_000_123 << 20);
    assert_eq!(new_incarnation(Duration::from_secs(1), SENDER_INCARNATION), SENDER_INCARNATION + 1);
    assert_eq!(new_incarnation(Duration::MAX, 0), (u64::MAX >> 20) << 20);
}

#[test]
fn rejection_counters_keep_their_names() {
    let names: Vec<&str> = Rejection::ALL.iter().map(|reason| reason.name()).collect();
    let expected = ["foreign", "forged", "replayed", "stale", "oversized", "version", "malformed", "crowded"];
    assert_eq!(names, expected);
}
