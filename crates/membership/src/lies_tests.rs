//! One member that lies, in its own name and in others': what it may say is signed, and wrong.
use crate::bench::{address, claim, keys, name, record, seed, Bench, LIFE};
use crate::wire::{Message, News, Packet, Record, CEILING};
use crate::{Action, Digest, Event, Kind, Observation, State, Subject};
use message_auth::Opener;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(State::Suspect, State::Suspect)]
#[case(State::Dead, State::Suspect)]
#[case(State::Left, State::Left)]
fn others_word_alone_holds_nobody_dead(#[case] said: State, #[case] held: State) {
    let mut bench = Bench::new(256);
    bench.tell(vec![record(3, 7, said)]);
    assert_eq!(bench.state(3), Some(held));
    // What is older changes nothing any more, what is newer does.
    bench.tell(vec![record(3, 6, State::Alive)]);
    assert_eq!(bench.state(3), Some(held));
    bench.tell(vec![record(3, 8, State::Alive)]);
    assert_eq!(bench.state(3), Some(State::Alive));
}

#[rstest]
fn who_is_spoken_ill_of_says_otherwise_at_once(
    #[values(State::Suspect, State::Dead, State::Left)] said: State,
    #[values(0, 5, CEILING - LIFE - 1)] ahead: u64,
) {
    let mut bench = Bench::new(256);
    bench.tell(vec![record(0, ahead, said)]);
    let own = bench.victim.view()[0].clone();
    assert_eq!((own.state, own.incarnation), (State::Alive, LIFE + ahead + 1));
    let sent = bench.out.iter().filter_map(|action| match action {
        Action::Send { to, bytes } if *to == address(1) => Some(bytes),
        _ => None,
    });
    let mut opener = Opener::new(keys(), name(1)).with_incarnation(LIFE);
    let packets: Vec<Packet> =
        sent.map(|bytes| Packet::read(&opener.open(bytes).unwrap().body).unwrap()).collect();
    assert!(packets.iter().any(|packet| packet.ahead == ahead + 1), "{packets:?}");
    assert_eq!(bench.victim.figures().refuted, 1);
}

#[test]
fn what_may_be_from_before_our_life_is_not_believed() {
    let mut bench = Bench::new(256);
    bench.liar.forget(&name(0));
    bench.tell(vec![record(3, 7, State::Left), claim(1, 5, Kind::Slow)]);
    assert_eq!((bench.state(3), bench.victim.figures().unsure), (Some(State::Alive), 1));
    assert_eq!(bench.victim.subjects(bench.now), []);
}

#[test]
fn a_suspicion_that_ended_while_we_stood_still_begins_anew() {
    let mut bench = Bench::new(256);
    bench.tell(vec![record(3, 7, State::Suspect)]);
    bench.now = bench.now + Duration::from_secs(60);
    bench.victim.handle(bench.now, Event::Tick, &mut bench.out);
    assert_eq!((bench.state(3), bench.victim.figures().stood_still), (Some(State::Suspect), 1));
    while let Some(wake) = bench.victim.wake().filter(|wake| bench.now + Duration::from_secs(20) > *wake) {
        bench.victim.handle(wake, Event::Tick, &mut bench.out);
        if bench.state(3) == Some(State::Dead) {
            return;
        }
    }
    panic!("it ends in its time");
}

#[test]
fn what_was_claimed_in_our_name_is_taken_back() {
    let mut bench = Bench::new(256);
    let subject = Subject::Box("x".into());
    bench.tell(vec![claim(0, LIFE + 50, Kind::Silent)]);
    let own = bench.victim.evidence.get(&subject, &name(0)).unwrap();
    assert!(own.number > LIFE + 50 && own.kind == Kind::Well);
    assert_eq!(bench.victim.verdict(&subject, bench.now).sources, 0);
    // What we claim indeed stands, above what was made up.
    let lasts = Duration::from_secs(30);
    let seen = Observation { subject: subject.clone(), kind: Kind::Slow, weight: 0.5, lasts };
    bench.victim.handle(bench.now, Event::Observed(seen), &mut bench.out);
    bench.tell(vec![claim(0, LIFE + 90, Kind::Well)]);
    let own = bench.victim.evidence.get(&subject, &name(0)).unwrap();
    assert!(own.number > LIFE + 90 && own.kind == Kind::Slow);
    assert_eq!(bench.victim.figures().claims_disowned, 2);
    // Our own, come back, is no lie.
    let own = bench.victim.evidence.told(&subject, &name(0), bench.now).unwrap();
    bench.tell(vec![News::Claim(own)]);
    assert_eq!(bench.victim.figures().claims_disowned, 2);
}

#[test]
fn claims_count_for_members_only_and_once_each() {
    let mut bench = Bench::new(256);
    let subject = Subject::Box("x".into());
    for number in 1..20 {
        bench.tell(vec![claim(1, number, Kind::Silent), claim(77, number, Kind::Silent)]);
    }
    let verdict = bench.victim.verdict(&subject, bench.now);
    assert_eq!((verdict.sources, verdict.doubt), (1, 0.2));
    assert_eq!(bench.victim.figures().claims_refused, 19);
}

#[test]
fn strangers_and_too_many_are_refused() {
    let mut bench = Bench::new(6);
    let mut far = record(50, 0, State::Alive);
    if let News::Member(record) = &mut far {
        record.at = ([192, 168, 0, 1], 7_000).into();
    }
    bench.tell(vec![far]);
    assert_eq!((bench.victim.figures().strangers, bench.state(50)), (1, None));
    bench.tell((60..80).map(|which| record(which, 0, State::Alive)).collect());
    assert_eq!(bench.victim.view().len(), 7);
    assert_eq!(bench.victim.figures().crowded, 18);
    // Who left makes room.
    bench.tell(vec![record(60, 0, State::Left), record(90, 0, State::Alive)]);
    assert_eq!((bench.state(60), bench.state(90)), (None, Some(State::Alive)));
    let before = bench.victim.figures().strangers;
    let bytes = bench.liar.seal(Some(&name(0)), b"").unwrap();
    let event = Event::Datagram { from: ([172, 16, 0, 1], 7_000).into(), bytes };
    bench.victim.handle(bench.now, event, &mut bench.out);
    assert_eq!(bench.victim.figures().strangers, before + 1);
}

#[test]
fn a_seed_is_where_it_is_configured_whatever_is_said() {
    let mut bench = Bench::new(256);
    let moved =
        Record { at: address(99), ahead: 5, ..bench.victim.table.get(&name(2)).unwrap().record.clone() };
    bench.tell(vec![News::Member(moved)]);
    assert_eq!(bench.victim.view()[2].at, address(2));
    assert_eq!(bench.victim.view()[2].incarnation, LIFE + 5);
    // Configured no more, and outside of the networks: struck out, and taken in no more.
    let mut seeds = vec![seed(0), seed(1), seed(2)];
    seeds[2].at = ([192, 168, 0, 2], 7_000).into();
    bench.victim.handle(bench.now, Event::Roster(seeds), &mut bench.out);
    assert_eq!(bench.victim.view()[2].at.ip().to_string(), "192.168.0.2");
    bench.victim.handle(bench.now, Event::Roster(vec![seed(0), seed(1)]), &mut bench.out);
    assert_eq!(bench.state(2), None);
    let twice = vec![seed(1), seed(1)];
    bench.victim.handle(bench.now, Event::Roster(twice), &mut bench.out);
    assert_eq!(bench.victim.figures().malformed, 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Signed, but senseless: nothing is taken of it, and nothing breaks.
    #[test]
    fn senseless_packets_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..90, with: u8) {
        let mut bench = Bench::new(256);
        let news = vec![record(3, 1, State::Alive), claim(1, 5, Kind::Slow), record(4, CEILING, State::Dead)];
        let packet = Packet {
            message: Message::Ask { number: 1, whom: name(2) },
            hall: "hall".into(),
            at: address(1),
            ahead: 0,
            digest: Digest::default(),
            news,
        };
        let before = bench.victim.view();
        bench.body(&packet.write());
        prop_assert_eq!(bench.victim.view(), before, "one part out of bounds, and none is taken");
        let mut changed = packet.write();
        let at = at % changed.len();
        changed[at] = with;
        for body in [&bytes[..], &changed[..]] {
            let (before, malformed) = (bench.victim.view(), bench.victim.figures().malformed);
            bench.body(body);
            prop_assert!(bench.victim.figures().malformed == malformed || bench.victim.view() == before);
        }
    }
}
