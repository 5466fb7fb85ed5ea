//! Tests a Byzantine member, which sends correctly signed but false reports about itself and others.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod harness;

use harness::{address, claim_update, keys, member_record, member_update, name, seed, Harness, INCARNATION};
use membership::wire::{MemberRecord, Message, Packet, Update, MAX_REFUTABLE};
use membership::{Action, ClaimKind, Digest, Event, MemberState, Observation, Subject};
use message_auth::Opener;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(MemberState::Suspect, MemberState::Suspect)]
#[case(MemberState::Dead, MemberState::Suspect)]
#[case(MemberState::Left, MemberState::Left)]
fn reports_alone_mark_no_member_as_dead(#[case] reported: MemberState, #[case] expected: MemberState) {
    let mut harness = Harness::new(256);
    harness.report(vec![member_update(3, 7, reported)]);
    assert_eq!(harness.state(3), Some(expected));
    // An older report has no effect, a newer one has.
    harness.report(vec![member_update(3, 6, MemberState::Alive)]);
    assert_eq!(harness.state(3), Some(expected));
    harness.report(vec![member_update(3, 8, MemberState::Alive)]);
    assert_eq!(harness.state(3), Some(MemberState::Alive));
}

#[rstest]
fn misreported_member_refutes_at_once(
    #[values(MemberState::Suspect, MemberState::Dead, MemberState::Left)] reported: MemberState,
    #[values(0, 5, MAX_REFUTABLE - INCARNATION - 1)] offset: u64,
) {
    let mut harness = Harness::new(256);
    harness.report(vec![member_update(0, offset, reported)]);
    let own = harness.membership.view()[0].clone();
    assert_eq!((own.state, own.incarnation), (MemberState::Alive, INCARNATION + offset + 1));
    let sent = harness.actions.iter().filter_map(|action| match action {
        Action::Send { to, bytes } if *to == address(1) => Some(bytes),
        _ => None,
    });
    let mut opener = Opener::new(keys(), name(1)).with_incarnation(INCARNATION);
    let packets: Vec<Packet> =
        sent.map(|bytes| Packet::decode(&opener.open(bytes).unwrap().body).unwrap()).collect();
    assert!(packets.iter().any(|packet| packet.incarnation_offset == offset + 1), "{packets:?}");
    assert_eq!(harness.membership.counters().refutations, 1);
}

#[test]
fn packet_for_any_incarnation_changes_no_state() {
    let mut harness = Harness::new(256);
    harness.byzantine_sealer.forget_incarnation(&name(0));
    let updates = vec![member_update(3, 7, MemberState::Left), claim_update(1, 5, ClaimKind::Slow)];
    harness.report(updates);
    let not_fresh = harness.membership.counters().not_fresh;
    assert_eq!((harness.state(3), not_fresh), (Some(MemberState::Alive), 1));
    assert_eq!(harness.membership.negative_subjects(harness.now), []);
}

#[test]
fn suspicion_that_timed_out_during_stall_is_extended() {
    let mut harness = Harness::new(256);
    harness.report(vec![member_update(3, 7, MemberState::Suspect)]);
    harness.now = harness.now + Duration::from_secs(60);
    harness.membership.handle(harness.now, Event::Tick, &mut harness.actions);
    let stalls = harness.membership.counters().stalls;
    assert_eq!((harness.state(3), stalls), (Some(MemberState::Suspect), 1));
    let deadline = harness.now + Duration::from_secs(20);
    while let Some(wake) = harness.membership.wake().filter(|wake| deadline > *wake) {
        harness.membership.handle(wake, Event::Tick, &mut harness.actions);
        if harness.state(3) == Some(MemberState::Dead) {
            return;
        }
    }
    panic!("the extended suspicion must time out");
}

#[test]
fn claim_in_own_name_is_refuted() {
    let mut harness = Harness::new(256);
    let subject = Subject::Backend("x".into());
    harness.report(vec![claim_update(0, INCARNATION + 50, ClaimKind::Unresponsive)]);
    let own = harness.membership.claims().get(&subject, &name(0)).unwrap();
    assert!(own.number > INCARNATION + 50 && own.kind == ClaimKind::Healthy);
    assert_eq!(harness.membership.verdict(&subject, harness.now).sources, 0);
    // A claim that the member does make takes precedence over a forged one.
    let valid_for = Duration::from_secs(30);
    let kind = ClaimKind::Slow;
    let observation = Observation { subject: subject.clone(), kind, confidence: 0.5, valid_for };
    harness.membership.handle(harness.now, Event::Observed(observation), &mut harness.actions);
    harness.report(vec![claim_update(0, INCARNATION + 90, ClaimKind::Healthy)]);
    let own = harness.membership.claims().get(&subject, &name(0)).unwrap();
    assert!(own.number > INCARNATION + 90 && own.kind == ClaimKind::Slow);
    assert_eq!(harness.membership.counters().claims_refuted, 2);
    // The member's own claim, sent back to it, isn't refuted.
    let own = harness.membership.claims().record(&subject, &name(0), harness.now).unwrap();
    harness.report(vec![Update::Claim(own)]);
    assert_eq!(harness.membership.counters().claims_refuted, 2);
}

#[test]
fn counts_one_claim_per_source_and_only_of_members() {
    let mut harness = Harness::new(256);
    let subject = Subject::Backend("x".into());
    for number in 1..20 {
        let kind = ClaimKind::Unresponsive;
        harness.report(vec![claim_update(1, number, kind), claim_update(77, number, kind)]);
    }
    let verdict = harness.membership.verdict(&subject, harness.now);
    assert_eq!((verdict.sources, verdict.score), (1, 0.2));
    assert_eq!(harness.membership.counters().claims_rejected, 19);
}

#[test]
fn rejects_disallowed_addresses_and_too_many_members() {
    let mut harness = Harness::new(6);
    let outside = MemberRecord {
        address: ([192, 168, 0, 1], 7_000).into(),
        ..member_record(50, 0, MemberState::Alive)
    };
    harness.report(vec![Update::Member(outside)]);
    assert_eq!((harness.membership.counters().disallowed_addresses, harness.state(50)), (1, None));
    harness.report((60..80).map(|index| member_update(index, 0, MemberState::Alive)).collect());
    assert_eq!(harness.membership.view().len(), 7);
    assert_eq!(harness.membership.counters().members_over_limit, 18);
    // A member that left is evicted when a new one joins.
    let updates = vec![member_update(60, 0, MemberState::Left), member_update(90, 0, MemberState::Alive)];
    harness.report(updates);
    assert_eq!((harness.state(60), harness.state(90)), (None, Some(MemberState::Alive)));
    let before = harness.membership.counters().disallowed_addresses;
    let bytes = harness.byzantine_sealer.seal(Some(&name(0)), b"").unwrap();
    let event = Event::Datagram { from: ([172, 16, 0, 1], 7_000).into(), bytes };
    harness.membership.handle(harness.now, event, &mut harness.actions);
    assert_eq!(harness.membership.counters().disallowed_addresses, before + 1);
}

#[test]
fn seed_address_cannot_be_changed_by_reports() {
    let mut harness = Harness::new(256);
    let moved = MemberRecord { address: address(99), ..member_record(2, 5, MemberState::Alive) };
    harness.report(vec![Update::Member(moved)]);
    assert_eq!(harness.membership.view()[2].address, address(2));
    assert_eq!(harness.membership.view()[2].incarnation, INCARNATION + 5);
    // Once it is no longer configured, it is removed, since its address is outside of the allowed networks.
    let mut seeds = vec![seed(0), seed(1), seed(2)];
    seeds[2].address = ([192, 168, 0, 2], 7_000).into();
    harness.membership.handle(harness.now, Event::SeedsChanged(seeds), &mut harness.actions);
    assert_eq!(harness.membership.view()[2].address.ip().to_string(), "192.168.0.2");
    let seeds = vec![seed(0), seed(1)];
    harness.membership.handle(harness.now, Event::SeedsChanged(seeds), &mut harness.actions);
    assert_eq!(harness.state(2), None);
    let duplicates = vec![seed(1), seed(1)];
    harness.membership.handle(harness.now, Event::SeedsChanged(duplicates), &mut harness.actions);
    assert_eq!(harness.membership.counters().malformed, 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Signed but malformed packets are ignored as a whole, and cause no panic.
    #[test]
    fn malformed_packets_change_no_state(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..90, with: u8) {
        let mut harness = Harness::new(256);
        let updates = vec![
            member_update(3, 1, MemberState::Alive),
            claim_update(1, 5, ClaimKind::Slow),
            member_update(4, MAX_REFUTABLE, MemberState::Dead),
        ];
        let packet = Packet {
            message: Message::PingRequest { sequence: 1, target: name(2) },
            zone: "hall".into(),
            address: address(1),
            incarnation_offset: 0,
            digest: Digest::default(),
            updates,
        };
        let before = harness.membership.view();
        harness.receive(&packet.encode());
        prop_assert_eq!(harness.membership.view(), before, "a packet with one field out of bounds must be ignored");
        let mut changed = packet.encode();
        let at = at % changed.len();
        changed[at] = with;
        for body in [&bytes[..], &changed[..]] {
            let (before, malformed) = (harness.membership.view(), harness.membership.counters().malformed);
            harness.receive(body);
            let is_accepted = harness.membership.counters().malformed == malformed;
            prop_assert!(is_accepted || harness.membership.view() == before);
        }
    }
}
