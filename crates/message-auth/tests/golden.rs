//! Holds the bytes of signed messages: each file under `golden/` is one message under a fixed key.
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

/// What the receiver reads from a file.
fn opened(sequence: u64, fresh: bool, body: &[u8]) -> Opened {
    let from = "front-1".into();
    Opened { from, incarnation: SENDER_INCARNATION, sequence, fresh, body: body.to_vec() }
}

#[test]
fn holds_bytes_of_broadcast() {
    let bytes = GOLDEN.bytes("broadcast.bin");
    assert_eq!(sealer().seal(None, b"body").unwrap(), bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(1, false, b"body")));
    assert_eq!(bytes[..3], *b"LR\x01");
}

#[rstest]
#[case("addressed_any_incarnation.bin", None, false)]
#[case("addressed_known_incarnation.bin", Some(RECEIVER_INCARNATION), true)]
fn holds_bytes_of_addressed_message(#[case] name: &str, #[case] to: Option<u64>, #[case] fresh: bool) {
    let bytes = GOLDEN.bytes(name);
    assert_eq!(sealer().seal_to(&receiver(), to, b"body").unwrap(), bytes);
    let mut learnt = sealer();
    if let Some(incarnation) = to {
        learnt.learn_incarnation(&receiver(), incarnation);
    }
    assert_eq!(learnt.seal(Some(&receiver()), b"body").unwrap(), bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(1, fresh, b"body")));
}

#[test]
fn holds_bytes_of_frame_on_each_end_of_the_channels() {
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
fn holds_bytes_of_empty_body_and_of_a_number_of_two_bytes() {
    let bytes = GOLDEN.bytes("empty_body_number_200.bin");
    let mut sealer = sealer();
    let sealed = (0..200).map(|_| sealer.seal(Some(&receiver()), b"").unwrap()).last().unwrap();
    assert_eq!(sealed, bytes);
    assert_eq!(opener().open(&bytes), Ok(opened(200, false, b"")));
}

#[test]
fn holds_bytes_under_each_key_of_a_rotation() {
    let expecting = keys().expect(NEXT_KEY);
    let rotated = expecting.rotate();
    for (name, keys) in [("broadcast.bin", &expecting), ("rotated_key.bin", &rotated)] {
        let bytes = GOLDEN.bytes(name);
        let mut sealer = Sealer::new(keys.clone(), "front-1".into(), SENDER_INCARNATION);
        assert_eq!(sealer.seal(None, b"body").unwrap(), bytes);
        for keys in [&expecting, &rotated] {
            let mut opener = Opener::new(keys.clone(), receiver());
            assert_eq!(opener.open(&bytes), Ok(opened(1, false, b"body")));
        }
    }
    let mut retired = Opener::new(rotated.retire(), receiver());
    assert_eq!(retired.open(&GOLDEN.bytes("broadcast.bin")), Err(Rejection::Forged));
}

#[test]
fn holds_layout_of_an_incarnation() {
    assert_eq!(new_incarnation(Duration::from_millis(1_800_000_000_123), 0), 1_800_000_000_123 << 20);
    assert_eq!(new_incarnation(Duration::from_secs(1), SENDER_INCARNATION), SENDER_INCARNATION + 1);
    assert_eq!(new_incarnation(Duration::MAX, 0), (u64::MAX >> 20) << 20);
}

#[test]
fn holds_names_of_rejection_counters() {
    let names: Vec<&str> = Rejection::ALL.iter().map(|reason| reason.name()).collect();
    let expected = ["foreign", "forged", "replayed", "stale", "oversized", "version", "malformed", "crowded"];
    assert_eq!(names, expected);
}
