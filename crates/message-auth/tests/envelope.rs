//! Messages between a few members over a bad link: what passes, and what changes nothing.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::MemberId;
use message_auth::{Keys, Opened, Opener, Refusal, Sealer, DATAGRAM, FRAME};
use proptest::prelude::*;
use rstest::rstest;

const KEY: [u8; 32] = [1; 32];
const NEXT: [u8; 32] = [2; 32];

fn keys() -> Keys {
    Keys::new(KEY, None)
}

fn sealer(name: &str, life: u64) -> Sealer {
    Sealer::new(keys(), name.into(), life)
}

fn opener() -> Opener {
    Opener::new(keys(), "b".into()).living(50)
}

fn b() -> MemberId {
    "b".into()
}

#[rstest]
#[case(Some("b"), Ok(()))]
#[case(None, Ok(()))]
#[case(Some("c"), Err(Refusal::Foreign))]
fn a_message_is_for_whom_it_names(#[case] to: Option<&str>, #[case] expected: Result<(), Refusal>) {
    let (to, mut opener) = (to.map(MemberId::from), opener());
    let bytes = sealer("a", 7).seal(to.as_ref(), b"body").unwrap();
    assert_eq!(opener.open(&bytes).map(|opened| assert_eq!(opened.body, b"body")), expected);
    assert!(opener.open(&bytes).is_err(), "never twice");
}

#[test]
fn what_comes_back_to_its_sender_or_on_another_channel_is_foreign() {
    let mut own = Opener::new(keys(), "a".into());
    assert_eq!(own.open(&sealer("a", 7).seal(None, b"x").unwrap()), Err(Refusal::Foreign));
    let mut other = opener();
    let bytes = sealer("a", 7).channel(1).seal(Some(&b()), b"x").unwrap();
    assert_eq!(other.open(&bytes), Err(Refusal::Foreign));
    assert!(other.open_on(1, &bytes).is_ok(), "the refusal took nothing from its window");
}

#[test]
fn channels_of_a_sender_share_its_life_and_not_their_numbers() {
    let (mut udp, mut tcp) = (sealer("a", 7), sealer("a", 7).channel(1));
    let mut opener = opener();
    for _ in 0..2_000 {
        assert!(opener.open(&udp.seal(None, b"x").unwrap()).is_ok());
    }
    assert!(opener.open_on(1, &tcp.seal(None, b"x").unwrap()).is_ok(), "no window of the other's numbers");
    let late = tcp.seal(None, b"late").unwrap();
    assert!(opener.open(&sealer("a", 8).seal(None, b"new life").unwrap()).is_ok());
    assert_eq!(opener.open_on(1, &late), Err(Refusal::Stale));
    assert_eq!(opener.open(&udp.seal(None, b"x").unwrap()), Err(Refusal::Stale));
}

#[test]
fn what_was_recorded_before_a_start_is_stale_after_it() {
    let (mut sender, mut before) = (sealer("a", 7), opener());
    let unsure = sender.seal(Some(&b()), b"first").unwrap();
    assert!(!before.open(&unsure).unwrap().fresh);
    sender.learn(&b(), 50);
    let recorded = sender.seal(Some(&b()), b"second").unwrap();
    assert!(before.open(&recorded).unwrap().fresh);
    let mut after = opener().living(51);
    assert_eq!(after.open(&recorded), Err(Refusal::Stale));
    assert!(!after.open(&unsure).unwrap().fresh, "passes only as one that may be old");
    sender.forget(&b());
    assert!(after.open(&sender.seal(Some(&b()), b"third").unwrap()).is_ok());
    let told = sender.seal_to(&b(), Some(51), b"fourth").unwrap();
    assert!(after.open(&told).unwrap().fresh);
}

#[test]
fn sizes_are_bounded_on_both_sides() {
    let mut small = sealer("a", u64::MAX);
    small.learn(&b(), u64::MAX);
    let room = small.room(Some(&b()));
    let bytes = small.seal(Some(&b()), &vec![0; room]).unwrap();
    assert!(bytes.len() <= DATAGRAM && bytes.len() + 16 > DATAGRAM, "{} of {DATAGRAM}", bytes.len());
    assert_eq!(small.seal(None, &[0; DATAGRAM]), Err(Refusal::Oversized));
    let mut large = sealer("a", 7).bound(FRAME);
    let frame = large.seal(None, &[0; 100_000]).unwrap();
    assert_eq!(opener().open(&frame), Err(Refusal::Oversized));
    assert!(opener().bound(FRAME).open(&frame).is_ok());
    assert_eq!(sealer(&"n".repeat(65), 7).seal(None, b"x"), Err(Refusal::Malformed));
    assert_eq!(sealer("a", 7).channel(16).seal(None, b"x"), Err(Refusal::Malformed));
}

#[test]
fn one_sender_too_many_is_refused_and_takes_no_place() {
    let mut opener = opener().most(2);
    let (mut first, mut second) = (sealer("x", 1), sealer("y", 1));
    assert!(opener.open(&first.seal(None, b"").unwrap()).is_ok());
    assert!(opener.open(&second.seal(None, b"").unwrap()).is_ok());
    assert_eq!(opener.open(&sealer("z", 1).seal(None, b"").unwrap()), Err(Refusal::Crowded));
    assert!(opener.open(&first.seal(None, b"").unwrap()).is_ok());
}

#[test]
fn a_sender_that_was_forgotten_passes_nothing_twice() {
    let mut opener = opener().most(2);
    let (mut live, mut gone) = (sealer("live", 3), sealer("gone", 5));
    let recorded = gone.seal(None, b"").unwrap();
    assert!(opener.open(&recorded).is_ok());
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    opener.release(&"gone".into());
    assert!(opener.open(&sealer("new", 9).seal(None, b"").unwrap()).is_ok());
    opener.release(&"new".into());
    assert_eq!(opener.open(&recorded), Err(Refusal::Stale));
    assert_eq!(opener.open(&gone.seal(None, b"").unwrap()), Err(Refusal::Stale));
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    assert!(opener.open(&sealer("gone", 10).seal(None, b"").unwrap()).is_ok(), "a later life of it passes");
    assert!(opener.open(&live.seal(None, b"").unwrap()).is_ok());
    opener.release(&"gone".into());
    assert!(opener.open(&sealer("gone", 11).seal(None, b"").unwrap()).is_ok());
    assert_eq!(
        opener.open(&sealer("one more", 12).seal(None, b"").unwrap()),
        Err(Refusal::Crowded),
        "it is back"
    );
}

#[test]
fn keys_change_in_service_without_one_message_lost() {
    // Each step reaches the two sides at different times; whatever the order within a step, all passes.
    let steps: [fn(&Keys) -> Keys; 3] = [|keys| keys.expect(NEXT), Keys::rotate, Keys::retire];
    for sender_first in [true, false] {
        let (mut from, mut opens) = (keys(), keys());
        let (mut sealer, mut opener) = (sealer("a", 7), opener());
        let mut passes = |from: &Keys, opens: &Keys| {
            sealer.rekey(from.clone());
            opener.rekey(opens.clone());
            let bytes = sealer.seal(Some(&b()), b"x").unwrap();
            assert!(opener.open(&bytes).is_ok());
            assert_eq!(opener.open(&bytes), Err(Refusal::Replayed), "no window is lost with a key");
        };
        for step in steps {
            let (next_from, next_opens) = (step(&from), step(&opens));
            if sender_first {
                passes(&next_from, &opens);
            } else {
                passes(&from, &next_opens);
            }
            (from, opens) = (next_from, next_opens);
            passes(&from, &opens);
        }
        assert!(opener.counts().under_other > 0);
        assert_eq!(
            opener.open(&Sealer::new(keys(), "a".into(), 9).seal(None, b"x").unwrap()),
            Err(Refusal::Forged)
        );
    }
}

/// What an opener gives for a message, with its number only.
fn number(result: Result<Opened, Refusal>) -> Result<u64, Refusal> {
    result.map(|opened| opened.number)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Every changed, shortened or lengthened message is refused, and the opener is as if it had never come.
    #[test]
    fn a_forged_message_changes_nothing(at in any::<prop::sample::Index>(), bit in 0u8..8, cut in 0usize..80) {
        let mut sender = sealer("a", 7);
        let mut opener = opener();
        opener.open(&sender.seal(Some(&b()), b"one").unwrap()).unwrap();
        let good = sealer("a", 9_999).seal(Some(&b()), b"two").unwrap();
        let mut flipped = good.clone();
        flipped[at.index(good.len())] ^= 1 << bit;
        let mut longer = good.clone();
        longer.push(0);
        for bad in [&flipped[..], &longer[..], &good[..good.len().saturating_sub(cut + 1)], &good[(cut + 1).min(good.len())..]] {
            prop_assert!(opener.open(bad).is_err());
        }
        prop_assert_eq!(number(opener.open(&sender.seal(Some(&b()), b"three").unwrap())), Ok(2));
        prop_assert_eq!(opener.open(&good).map(|opened| opened.life), Ok(9_999));
    }

    /// Anything signed but senseless, and anything at all, is refused without a panic.
    #[test]
    fn garbage_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut opener = opener();
        prop_assert!(opener.open(&bytes).is_err());
        let lead = [&b"LR\x01"[..], &bytes[..]].concat();
        prop_assert!(opener.open(&lead).is_err());
        prop_assert_eq!(opener.counts().all().map(|(_, count)| count).sum::<u64>(), 2);
    }

    /// Loss, doubling and reordering within the window, lives growing: each message passes exactly once.
    #[test]
    fn each_message_passes_once(order in prop::collection::vec(0usize..100, 0..200)) {
        let (mut opener, mut sender) = (opener(), sealer("a", 7));
        let sent: Vec<Vec<u8>> = (0..100).map(|_| sender.seal(None, b"x").unwrap()).collect();
        let mut seen = std::collections::BTreeSet::new();
        for which in order {
            prop_assert_eq!(opener.open(&sent[which]).is_ok(), seen.insert(which));
        }
    }
}
