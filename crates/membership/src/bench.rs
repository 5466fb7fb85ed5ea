//! For tests: one member, and another whose messages are made up.
use crate::wire::{Message, News, Packet, Record, Told};
use crate::{Action, Digest, Event, Kind, Members, Seed, Settings, State, Subject};
use cluster_types::{MemberId, Time};
use message_auth::{Keys, Sealer};
use std::net::SocketAddr;
use std::time::Duration;

pub const LIFE: u64 = 1_000;

pub fn address(which: u8) -> SocketAddr {
    ([10, 0, 0, which], 7_000).into()
}

pub fn name(which: u8) -> MemberId {
    MemberId::from(format!("m{which}").as_str())
}

pub fn seed(which: u8) -> Seed {
    Seed { member: name(which), hall: "hall".into(), at: address(which) }
}

pub fn keys() -> Keys {
    Keys::new([1; 32], None)
}

/// Member 0, that knows of four others, and member 1, whose messages are made up.
pub struct Bench {
    pub victim: Members,
    pub liar: Sealer,
    pub now: Time,
    pub out: Vec<Action>,
}

impl Bench {
    pub fn new(most: usize) -> Bench {
        let mut settings = Settings::new(seed(0), LIFE, vec![seed(0), seed(1), seed(2)]);
        settings.allowed = vec!["10.0.0.0/24".parse().unwrap()];
        settings.most = most;
        let mut liar = Sealer::new(keys(), name(1), LIFE);
        liar.learn_incarnation(&name(0), LIFE);
        let victim = Members::new(settings, keys(), Time(0), 1).unwrap();
        let mut bench = Bench { victim, liar, now: Time(0), out: Vec::new() };
        bench.tell((2..5).map(|which| record(which, 0, State::Alive)).collect());
        bench
    }

    pub fn body(&mut self, body: &[u8]) {
        let bytes = self.liar.seal(Some(&name(0)), body).unwrap();
        self.now = self.now + Duration::from_millis(1);
        self.out.clear();
        let event = Event::Datagram { from: address(1), bytes };
        self.victim.handle(self.now, event, &mut self.out);
    }

    pub fn tell(&mut self, news: Vec<News>) {
        let (hall, at) = ("hall".into(), address(1));
        let packet = Packet { message: Message::News, hall, at, ahead: 0, digest: Digest::default(), news };
        self.body(&packet.write());
    }

    pub fn state(&self, which: u8) -> Option<State> {
        self.victim.view().into_iter().find(|member| member.member == name(which)).map(|member| member.state)
    }
}

pub fn record(which: u8, ahead: u64, state: State) -> News {
    News::Member(Record {
        member: name(which),
        hall: "hall".into(),
        at: address(which),
        life: LIFE,
        ahead,
        state,
    })
}

pub fn claim(source: u8, number: u64, kind: Kind) -> News {
    let subject = Subject::Box("x".into());
    News::Claim(Told {
        source: name(source),
        number,
        subject,
        kind,
        weight: 255,
        age_ms: 0,
        lasts_ms: 20_000,
    })
}
