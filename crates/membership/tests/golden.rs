//! Tests that the wire format of datagrams and the operators' status text don't change: each `.bin` file under `golden/` is
//! one packet before signing.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use golden_files::GoldenFiles;
use membership::wire::{ClaimRecord, MemberRecord, Message, Packet, Update};
use membership::{ClaimKind, Counters, Digest, MemberState, Subject};
use rstest::rstest;
use std::net::{Ipv6Addr, SocketAddr};

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));
const BASE_INCARNATION: u64 = 1_800_000_000_000 << 20;

fn record(state: MemberState) -> MemberRecord {
    MemberRecord {
        member: "front-2".into(),
        zone: "hall-b".into(),
        address: ([10, 1, 2, 3], 7_946).into(),
        base_incarnation: BASE_INCARNATION,
        incarnation_offset: 3,
        state,
    }
}

fn claim(subject: Subject, kind: ClaimKind) -> ClaimRecord {
    ClaimRecord {
        source: "front-3".into(),
        number: BASE_INCARNATION + 17,
        subject,
        kind,
        confidence: 200,
        age_ms: 1_234,
        valid_for_ms: 20_000,
    }
}

fn backend_claim(kind: ClaimKind) -> Update {
    Update::Claim(claim(Subject::Backend("box-07".into()), kind))
}

/// The digest of one live member and one claim.
fn digest() -> Digest {
    let claim = claim(Subject::Backend("box-07".into()), ClaimKind::Unresponsive);
    let mut digest = Digest::default();
    digest.add_member(&record(MemberState::Alive));
    digest.add_claim(&claim.subject, &claim.source, claim.number);
    digest
}

fn packet(message: Message, updates: Vec<Update>) -> Packet {
    Packet {
        message,
        zone: "hall-a".into(),
        address: ([10, 1, 2, 1], 7_946).into(),
        incarnation_offset: 2,
        digest: digest(),
        updates,
    }
}

/// Asserts that the encoded packet equals the file, and that the file decodes to the packet and back.
fn assert_golden(name: &str, packet: &Packet) {
    let bytes = GOLDEN.bytes(name);
    assert_eq!(packet.encode(), bytes, "{name}");
    let decoded = Packet::decode(&bytes).unwrap();
    assert_eq!(decoded, *packet, "{name}");
    assert_eq!(decoded.encode(), bytes, "{name}");
}

#[rstest]
#[case("ping.bin", Message::Ping { sequence: 300 })]
#[case("ack.bin", Message::Ack { sequence: 300 })]
#[case("ping_request.bin", Message::PingRequest { sequence: u32::MAX, target: "front-4".into() })]
#[case("indirect_ack.bin", Message::IndirectAck { sequence: 5 })]
#[case("indirect_nack.bin", Message::IndirectNack { sequence: 5 })]
#[case("gossip.bin", Message::Gossip)]
#[case("leave.bin", Message::Leave)]
fn each_message_matches_golden_file(#[case] name: &str, #[case] message: Message) {
    assert_golden(name, &packet(message, Vec::new()));
}

#[rstest]
#[case("member_alive.bin", MemberState::Alive)]
#[case("member_suspect.bin", MemberState::Suspect)]
#[case("member_dead.bin", MemberState::Dead)]
#[case("member_left.bin", MemberState::Left)]
fn each_member_state_matches_golden_file(#[case] name: &str, #[case] state: MemberState) {
    assert_golden(name, &packet(Message::Gossip, vec![Update::Member(record(state))]));
}

#[rstest]
#[case("claim_unresponsive.bin", ClaimKind::Unresponsive)]
#[case("claim_slow.bin", ClaimKind::Slow)]
#[case("claim_failing.bin", ClaimKind::Failing)]
#[case("claim_healthy.bin", ClaimKind::Healthy)]
fn each_claim_kind_matches_golden_file(#[case] name: &str, #[case] kind: ClaimKind) {
    assert_golden(name, &packet(Message::Gossip, vec![backend_claim(kind)]));
}

#[test]
fn claim_about_zone_matches_golden_file() {
    let update = Update::Claim(claim(Subject::Zone("hall-b".into()), ClaimKind::Slow));
    assert_golden("claim_about_zone.bin", &packet(Message::Gossip, vec![update]));
}

#[test]
fn ipv6_addresses_and_several_updates_match_golden_file() {
    let address = SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 9), 7_946));
    let own = MemberRecord { address, ..record(MemberState::Suspect) };
    let mut packet =
        packet(Message::Ack { sequence: 0 }, vec![Update::Member(own), backend_claim(ClaimKind::Failing)]);
    packet.address = address;
    assert_golden("ipv6_several_updates.bin", &packet);
}

#[test]
fn updates_keep_their_encoded_size() {
    assert_eq!(Update::Member(record(MemberState::Alive)).encoded_size(), 34);
    assert_eq!(backend_claim(ClaimKind::Slow).encoded_size(), 33);
}

#[test]
fn operators_text_matches_golden_file() {
    let counters = Counters {
        probes_started: 1,
        probes_failed: 2,
        refutations: 3,
        datagrams_sent: 4,
        bytes_sent: 5,
        messages_deferred: 6,
        messages_dropped: 7,
        syncs_truncated: 8,
        malformed: 9,
        not_fresh: 10,
        disallowed_addresses: 11,
        members_over_limit: 12,
        claims_rejected: 13,
        claims_refuted: 14,
        stalls: 15,
    };
    let mut text = format!("membership {counters}\n");
    for subject in [Subject::Backend("box-07".into()), Subject::Zone("hall-b".into())] {
        text += &format!("doubt {subject}\n");
    }
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left] {
        text += &format!("state={state:?}\n");
    }
    assert_eq!(text.into_bytes(), GOLDEN.bytes("operators_text.txt"));
}
