//! A harness with one member under test, and a Byzantine member whose messages are forged by the tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{MemberId, Time};
use membership::wire::{ClaimRecord, MemberRecord, Message, Packet, Update};
use membership::{Action, ClaimKind, Digest, Event, MemberState, Membership, Seed, Settings, Subject};
use message_auth::{Keys, Sealer};
use std::net::SocketAddr;
use std::time::Duration;

pub const INCARNATION: u64 = 1_000;

pub fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

pub fn name(index: u8) -> MemberId {
    MemberId::from(format!("m{index}").as_str())
}

pub fn seed(index: u8) -> Seed {
    Seed { member: name(index), zone: "hall".into(), address: address(index) }
}

pub fn keys() -> Keys {
    Keys::new([1; 32], None)
}

/// Member 0, which is under test and knows four others, and the sealer of member 1, which is Byzantine.
pub struct Harness {
    pub membership: Membership,
    pub byzantine_sealer: Sealer,
    pub now: Time,
    /// The actions that resulted from the last message.
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(max_members: usize) -> Harness {
        let mut settings = Settings::new(seed(0), INCARNATION, vec![seed(0), seed(1), seed(2)]);
        settings.allowed_networks = vec!["10.0.0.0/24".parse().unwrap()];
        settings.max_members = max_members;
        let mut byzantine_sealer = Sealer::new(keys(), name(1), INCARNATION);
        byzantine_sealer.learn_incarnation(&name(0), INCARNATION);
        let membership = Membership::new(settings, keys(), Time(0), 1).unwrap();
        let mut harness = Harness { membership, byzantine_sealer, now: Time(0), actions: Vec::new() };
        harness.report((2..5).map(|index| member_update(index, 0, MemberState::Alive)).collect());
        harness
    }

    /// Delivers a signed message with this body to the member under test.
    pub fn receive(&mut self, body: &[u8]) {
        let bytes = self.byzantine_sealer.seal(Some(&name(0)), body).unwrap();
        self.now = self.now + Duration::from_millis(1);
        self.actions.clear();
        let event = Event::Datagram { from: address(1), bytes };
        self.membership.handle(self.now, event, &mut self.actions);
    }

    /// Delivers a packet with these updates to the member under test.
    pub fn report(&mut self, updates: Vec<Update>) {
        let packet = Packet {
            message: Message::Gossip,
            zone: "hall".into(),
            address: address(1),
            incarnation_offset: 0,
            digest: Digest::default(),
            updates,
        };
        self.receive(&packet.encode());
    }

    pub fn state(&self, index: u8) -> Option<MemberState> {
        let view = self.membership.view();
        view.into_iter().find(|member| member.member == name(index)).map(|member| member.state)
    }
}

pub fn member_record(index: u8, incarnation_offset: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        member: name(index),
        zone: "hall".into(),
        address: address(index),
        base_incarnation: INCARNATION,
        incarnation_offset,
        state,
    }
}

pub fn member_update(index: u8, incarnation_offset: u64, state: MemberState) -> Update {
    Update::Member(member_record(index, incarnation_offset, state))
}

pub fn claim_update(source: u8, number: u64, kind: ClaimKind) -> Update {
    Update::Claim(ClaimRecord {
        source: name(source),
        number,
        subject: Subject::Backend("x".into()),
        kind,
        confidence: 255,
        age_ms: 0,
        valid_for_ms: 20_000,
    })
}
