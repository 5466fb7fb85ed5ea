//! Tests which messages are accepted over an unreliable or hostile network, and that rejected ones don't change any state.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::MemberId;
use message_auth::{
    HeaderError, Keys, Opened, Opener, Rejection, SealError, Sealer, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;

const KEY: [u8; 32] = [1; 32];
const NEXT_KEY: [u8; 32] = [2; 32];

fn keys() -> Keys {
    Keys::new(KEY, None)
}

fn sealer(name: &str, incarnation: u64) -> Sealer {
    Sealer::new(keys(), name.into(), incarnation)
}

fn opener() -> Opener {
    Opener::new(keys(), "b".into()).with_incarnation(50)
}

fn receiver() -> MemberId {
    "b".into()
}

#[rstest]
#[case(Some("b"), Ok(()))]
#[case(None, Ok(()))]
#[case(Some("c"), Err(Rejection::Foreign))]
fn only_addressed_member_accepts_message(#[case] to: Option<&str>, #[case] expected: Result<(), Rejection>) {
    let (to, mut opener) = (to.map(MemberId::from), opener());
    let message = sealer("a", 7).seal(to.as_ref(), b"body").unwrap();
    assert_eq!(opener.open(&message).map(|opened| assert_eq!(opened.body, b"body")), expected);
    assert!(opener.open(&message).is_err(), "a message must not be accepted twice");
}

#[test]
fn rejects_reflected_message_and_message_on_wrong_channel() {
    let mut own = Opener::new(keys(), "a".into());
    assert_eq!(own.open(&sealer("a", 7).seal(None, b"x").unwrap()), Err(Rejection::Foreign));
    let mut other = opener();
    let message = sealer("a", 7).on_channel(1).seal(Some(&receiver()), b"x").unwrap();
    assert_eq!(other.open(&message), Err(Rejection::Foreign));
    assert!(other.open_on(1, &message).is_ok(), "a rejection must not change the replay window");
}

#[test]
fn channels_share_incarnation_but_not_sequence_numbers() {
    let (mut udp, mut tcp) = (sealer("a", 7), sealer("a", 7).on_channel(1));
    let mut opener = opener();
    for _ in 0..2_000 {
        assert!(opener.open(&udp.seal(None, b"x").unwrap()).is_ok());
    }
    assert!(
        opener.open_on(1, &tcp.seal(None, b"x").unwrap()).is_ok(),
        "channels must not share a replay window"
    );
    let late = tcp.seal(None, b"late").unwrap();
    assert!(opener.open(&sealer("a", 8).seal(None, b"new incarnation").unwrap()).is_ok());
    assert_eq!(opener.open_on(1, &late), Err(Rejection::Stale));
    assert_eq!(opener.open(&udp.seal(None, b"x").unwrap()), Err(Rejection::Stale));
}

#[test]
fn rejects_messages_recorded_before_restart() {
    let (mut sender, mut before) = (sealer("a", 7), opener());
    let to_any = sender.seal(Some(&receiver()), b"first").unwrap();
    assert!(!before.open(&to_any).unwrap().is_fresh);
    sender.learn_incarnation(&receiver(), 50);
    let recorded = sender.seal(Some(&receiver()), b"second").unwrap();
    assert!(before.open(&recorded).unwrap().is_fresh);
    let mut after = opener().with_incarnation(51);
    assert_eq!(after.open(&recorded), Err(Rejection::Stale));
    assert!(!after.open(&to_any).unwrap().is_fresh, "a message to any incarnation must not count as fresh");
    sender.forget_incarnation(&receiver());
    assert!(after.open(&sender.seal(Some(&receiver()), b"third").unwrap()).is_ok());
    let to_current = sender.seal_to(&receiver(), Some(51), b"fourth").unwrap();
    assert!(after.open(&to_current).unwrap().is_fresh);
}

#[test]
fn enforces_size_limits_when_sealing_and_opening() {
    let mut small = sealer("a", u64::MAX);
    small.learn_incarnation(&receiver(), u64::MAX);
    let longest_body = small.max_body_bytes(Some(&receiver()));
    let message = small.seal(Some(&receiver()), &vec![0; longest_body]).unwrap();
    let length = message.len();
    assert!(length <= MAX_DATAGRAM_BYTES && length + 16 > MAX_DATAGRAM_BYTES, "{length}");
    let oversized = small.seal(None, &[0; MAX_DATAGRAM_BYTES]);
    assert!(matches!(oversized, Err(SealError::Oversized { max_bytes: MAX_DATAGRAM_BYTES, .. })));
    let mut large = sealer("a", 7).with_max_bytes(MAX_FRAME_BYTES);
    let frame = large.seal(None, &[0; 100_000]).unwrap();
    assert_eq!(opener().open(&frame), Err(Rejection::Oversized));
    assert!(opener().with_max_bytes(MAX_FRAME_BYTES).open(&frame).is_ok());
    let long_name = sealer(&"n".repeat(65), 7).seal(None, b"x");
    assert_eq!(long_name, Err(SealError::Header(HeaderError::SenderName(65))));
    let unknown_channel = sealer("a", 7).on_channel(16).seal(None, b"x");
    assert_eq!(unknown_channel, Err(SealError::Header(HeaderError::Channel(16))));
}

#[test]
fn full_sender_table_rejects_new_sender_without_evicting_others() {
    let mut opener = opener().with_max_senders(2);
    let (mut first, mut second) = (sealer("x", 1), sealer("y", 1));
    assert!(opener.open(&first.seal(None, b"").unwrap()).is_ok());
    assert!(opener.open(&second.seal(None, b"").unwrap()).is_ok());
    assert_eq!(opener.open(&sealer("z", 1).seal(None, b"").unwrap()), Err(Rejection::TooManySenders));
    assert!(opener.open(&first.seal(None, b"").unwrap()).is_ok());
}

#[test]
fn rejects_replays_from_evicted_sender() {
    let mut opener = opener().with_max_senders(2);
    let (mut live, mut gone) = (sealer("live", 3), sealer("gone", 5));
    let recorded = gone.seal(None, b"").unwrap();
    assert!(opener.open(&recorded).is_ok());
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    opener.allow_eviction(&"gone".into());
    assert!(opener.open(&sealer("new", 9).seal(None, b"").unwrap()).is_ok());
    opener.allow_eviction(&"new".into());
    assert_eq!(opener.open(&recorded), Err(Rejection::Stale));
    assert_eq!(opener.open(&gone.seal(None, b"").unwrap()), Err(Rejection::Stale));
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    let later = sealer("gone", 10).seal(None, b"").unwrap();
    assert!(opener.open(&later).is_ok(), "a later incarnation of an evicted sender is accepted");
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    opener.allow_eviction(&"gone".into());
    assert!(opener.open(&sealer("gone", 11).seal(None, b"").unwrap()).is_ok());
    let one_more = sealer("one more", 12).seal(None, b"").unwrap();
    assert_eq!(
        opener.open(&one_more),
        Err(Rejection::TooManySenders),
        "the returned sender must not be evicted"
    );
}

#[test]
fn key_rotation_loses_no_message() {
    // Each step reaches the two sides at different times. All messages are accepted, whichever side is first.
    let steps: [fn(&Keys) -> Keys; 3] = [|keys| keys.accept_next(NEXT_KEY), Keys::rotate, Keys::retire];
    for sender_first in [true, false] {
        let (mut sender_keys, mut receiver_keys) = (keys(), keys());
        let (mut sealer, mut opener) = (sealer("a", 7), opener());
        let mut assert_accepted_once = |sender_keys: &Keys, receiver_keys: &Keys| {
            sealer.set_keys(sender_keys.clone());
            opener.set_keys(receiver_keys.clone());
            let message = sealer.seal(Some(&receiver()), b"x").unwrap();
            assert!(opener.open(&message).is_ok());
            assert_eq!(
                opener.open(&message),
                Err(Rejection::Replayed),
                "replacing keys must keep the replay windows"
            );
        };
        for step in steps {
            let (next_sender_keys, next_receiver_keys) = (step(&sender_keys), step(&receiver_keys));
            if sender_first {
                assert_accepted_once(&next_sender_keys, &receiver_keys);
            } else {
                assert_accepted_once(&sender_keys, &next_receiver_keys);
            }
            (sender_keys, receiver_keys) = (next_sender_keys, next_receiver_keys);
            assert_accepted_once(&sender_keys, &receiver_keys);
        }
        assert!(opener.counters().under_other_key > 0);
        let under_old_key = Sealer::new(keys(), "a".into(), 9).seal(None, b"x").unwrap();
        assert_eq!(opener.open(&under_old_key), Err(Rejection::Forged));
    }
}

/// Reduces an accepted message to its sequence number.
fn accepted_sequence(result: Result<Opened, Rejection>) -> Result<u64, Rejection> {
    result.map(|opened| opened.sequence)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A modified, truncated or extended message is rejected, and doesn't affect the messages after it.
    #[test]
    fn forged_message_changes_no_state(at in any::<prop::sample::Index>(), bit in 0u8..8, cut in 0usize..80) {
        let mut sender = sealer("a", 7);
        let mut opener = opener();
        opener.open(&sender.seal(Some(&receiver()), b"one").unwrap()).unwrap();
        let good = sealer("a", 9_999).seal(Some(&receiver()), b"two").unwrap();
        let mut flipped = good.clone();
        flipped[at.index(good.len())] ^= 1 << bit;
        let mut longer = good.clone();
        longer.push(0);
        let shorter = &good[..good.len().saturating_sub(cut + 1)];
        let without_start = &good[(cut + 1).min(good.len())..];
        for forged in [&flipped[..], &longer[..], shorter, without_start] {
            prop_assert!(opener.open(forged).is_err());
        }
        prop_assert_eq!(accepted_sequence(opener.open(&sender.seal(Some(&receiver()), b"three").unwrap())), Ok(2));
        prop_assert_eq!(opener.open(&good).map(|opened| opened.incarnation), Ok(9_999));
    }

    /// Arbitrary bytes, with or without a valid prefix, are rejected without a panic.
    #[test]
    fn rejects_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut opener = opener();
        prop_assert!(opener.open(&bytes).is_err());
        let prefixed = [&b"LR\x01"[..], &bytes[..]].concat();
        prop_assert!(opener.open(&prefixed).is_err());
        prop_assert_eq!(opener.counters().rejections().map(|(_, count)| count).sum::<u64>(), 2);
    }

    /// Under loss, duplication and reordering within the window, each message is accepted exactly once.
    #[test]
    fn accepts_each_message_once(order in prop::collection::vec(0usize..100, 0..200)) {
        let (mut opener, mut sender) = (opener(), sealer("a", 7));
        let sent: Vec<Vec<u8>> = (0..100).map(|_| sender.seal(None, b"x").unwrap()).collect();
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            prop_assert_eq!(opener.open(&sent[index]).is_ok(), seen.insert(index));
        }
    }
}
