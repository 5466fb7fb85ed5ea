//! Holds the bytes of membership datagrams, and the text that operators read: each `.bin` file under `golden/` is one packet
//! as it is sent before signing.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use membership::wire::{Message, News, Packet, Record, Told};
use membership::{Digest, Figures, Kind, State, Subject};
use rstest::rstest;
use std::net::{Ipv6Addr, SocketAddr};
use std::path::Path;

const INCARNATION_BASE: u64 = 1_800_000_000_000 << 20;

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read(path).unwrap()
}

fn record(state: State) -> Record {
    Record {
        member: "front-2".into(),
        hall: "hall-b".into(),
        at: ([10, 1, 2, 3], 7_946).into(),
        life: INCARNATION_BASE,
        ahead: 3,
        state,
    }
}

fn claim(subject: Subject, kind: Kind) -> Told {
    Told {
        source: "front-3".into(),
        number: INCARNATION_BASE + 17,
        subject,
        kind,
        weight: 200,
        age_ms: 1_234,
        lasts_ms: 20_000,
    }
}

fn box_claim(kind: Kind) -> News {
    News::Claim(claim(Subject::Box("box-07".into()), kind))
}

/// The digest of one live member and one claim.
fn digest() -> Digest {
    let claim = claim(Subject::Box("box-07".into()), Kind::Silent);
    let mut digest = Digest::default();
    digest.add(&record(State::Alive));
    digest.claim(&claim.subject, &claim.source, claim.number);
    digest
}

fn packet(message: Message, news: Vec<News>) -> Packet {
    let at = ([10, 1, 2, 1], 7_946).into();
    Packet { message, hall: "hall-a".into(), at, ahead: 2, digest: digest(), news }
}

/// Checks that encoding gives the file, and that decoding and encoding the file gives it again.
fn assert_golden(name: &str, packet: &Packet) {
    let bytes = golden(name);
    assert_eq!(packet.write(), bytes, "{name}");
    let decoded = Packet::read(&bytes).unwrap();
    assert_eq!(decoded, *packet, "{name}");
    assert_eq!(decoded.write(), bytes, "{name}");
}

#[rstest]
#[case("ping.bin", Message::Ping { number: 300 })]
#[case("ack.bin", Message::Ack { number: 300 })]
#[case("ping_request.bin", Message::Ask { number: u32::MAX, whom: "front-4".into() })]
#[case("indirect_ack.bin", Message::Heard { number: 5 })]
#[case("indirect_nack.bin", Message::Deaf { number: 5 })]
#[case("gossip.bin", Message::News)]
#[case("leave.bin", Message::Leave)]
fn holds_bytes_of_each_message(#[case] name: &str, #[case] message: Message) {
    assert_golden(name, &packet(message, Vec::new()));
}

#[rstest]
#[case("member_alive.bin", State::Alive)]
#[case("member_suspect.bin", State::Suspect)]
#[case("member_dead.bin", State::Dead)]
#[case("member_left.bin", State::Left)]
fn holds_bytes_of_each_member_state(#[case] name: &str, #[case] state: State) {
    assert_golden(name, &packet(Message::News, vec![News::Member(record(state))]));
}

#[rstest]
#[case("claim_unresponsive.bin", Kind::Silent)]
#[case("claim_slow.bin", Kind::Slow)]
#[case("claim_failing.bin", Kind::Failing)]
#[case("claim_healthy.bin", Kind::Well)]
fn holds_bytes_of_each_claim_kind(#[case] name: &str, #[case] kind: Kind) {
    assert_golden(name, &packet(Message::News, vec![box_claim(kind)]));
}

#[test]
fn holds_bytes_of_claim_about_zone() {
    let news = News::Claim(claim(Subject::Zone("hall-b".into()), Kind::Slow));
    assert_golden("claim_about_zone.bin", &packet(Message::News, vec![news]));
}

#[test]
fn holds_bytes_of_ipv6_addresses_and_several_updates() {
    let at = SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 9), 7_946));
    let own = Record { at, ..record(State::Suspect) };
    let mut packet = packet(Message::Ack { number: 0 }, vec![News::Member(own), box_claim(Kind::Failing)]);
    packet.at = at;
    assert_golden("ipv6_several_updates.bin", &packet);
}

#[test]
fn holds_size_of_updates() {
    assert_eq!(News::Member(record(State::Alive)).size(), 34);
    assert_eq!(box_claim(Kind::Slow).size(), 33);
}

#[test]
fn holds_operators_text() {
    let figures = Figures {
        probes: 1,
        failed: 2,
        refuted: 3,
        sent: 4,
        bytes: 5,
        put_off: 6,
        dropped: 7,
        filled: 8,
        malformed: 9,
        unsure: 10,
        strangers: 11,
        crowded: 12,
        claims_refused: 13,
        claims_disowned: 14,
        stood_still: 15,
    };
    let mut text = format!("membership {figures}\n");
    for subject in [Subject::Box("box-07".into()), Subject::Zone("hall-b".into())] {
        text += &format!("doubt {subject}\n");
    }
    for state in [State::Alive, State::Suspect, State::Dead, State::Left] {
        text += &format!("state={state:?}\n");
    }
    assert_eq!(text.into_bytes(), golden("operators_text.txt"));
}
