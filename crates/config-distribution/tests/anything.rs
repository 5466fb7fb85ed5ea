//! Nothing that comes from outside makes a subscriber or a relay panic, or put in force what is older.
mod common;
use backoff::Failure;
use cluster_types::{Index, Time};
use common::{change, Front};
use config_distribution::*;
use proptest::prelude::*;

fn key() -> impl Strategy<Value = Key> {
    let topic = prop_oneof![
        Just(Topic::Fleet),
        Just(Topic::Zone("zone-a".into())),
        (0u32..3).prop_map(Topic::Shard),
        ".{0,70}".prop_map(|name| Topic::Volume(name.as_str().into())),
    ];
    (topic, "[ab]|.{0,70}").prop_map(|(topic, name)| Key::new(topic, &name))
}

prop_compose! {
    fn any_change()(key in key(), version in 0u64..30, value in prop::option::of(prop::collection::vec(any::<u8>(), 0..9)), ahead in any::<bool>()) -> Change {
        let class = if ahead { Class::Primary } else { Class::Configuration };
        Change { version: Index(version), class, key, value: value.map(Into::into) }
    }
}

fn index() -> impl Strategy<Value = Index> {
    prop_oneof![9 => 0u64..30, 1 => any::<u64>()].prop_map(Index)
}

fn some() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(any_change(), 0..6)
}

fn from_relay() -> impl Strategy<Value = FromRelay> {
    prop_oneof![
        (5u64..9).prop_map(|lineage| FromRelay::Subscribed { lineage }),
        Just(FromRelay::Later),
        (index(), index(), some()).prop_map(|(from, upto, changes)| FromRelay::Changes {
            from,
            upto,
            changes
        }),
        (index(), any::<bool>(), any::<bool>(), some())
            .prop_map(|(base, first, last, entries)| FromRelay::Piece { base, first, last, entries }),
        (index(), prop::option::of(any::<u64>()), prop::option::of(any::<std::time::Duration>()))
            .prop_map(|(upto, sum, alone)| FromRelay::Alive { upto, sum, alone }),
    ]
}

fn to_relay() -> impl Strategy<Value = ToRelay> {
    let scope = prop_oneof![Just(Scope::Everything), Just(common::scope()), Just(Scope::Topics([].into()))];
    let refusal = (key(), index(), ".{0,20}").prop_map(|(key, version, why)| Refusal { key, version, why });
    prop_oneof![
        (5u64..9, scope, index()).prop_map(|(lineage, scope, from)| ToRelay::Subscribe {
            lineage,
            scope,
            from
        }),
        (index(), prop::collection::vec(refusal, 0..10))
            .prop_map(|(upto, refused)| ToRelay::Decided { upto, refused }),
        Just(ToRelay::Next),
        (0u64..9, 0u64..9).prop_map(|(n, applied)| ToRelay::Report(common::report("relay-2", n, applied))),
    ]
}

proptest! {
    #[test]
    fn a_subscriber_takes_anything(
        said in prop::collection::vec((from_relay(), 0u8..8, 0u64..400_000), 1..60)
    ) {
        let mut front = Front::following(&[("a", 10, "ten")], 12);
        let lineage = |front: &Front| front.subscriber.held().lineage();
        let mut held = (lineage(&front), 10);
        for (message, what, pause) in said {
            front.now.0 += pause;
            match what {
                0 => drop(front.event(Event::Decided { refused: vec![(Key::new(Topic::Fleet, "a"), "no".into())] })),
                1 => drop(front.event(Event::Decided { refused: vec![(Key::new(Topic::Fleet, "zz"), "no".into())] })),
                2 => front.end(),
                3 => if front.follows().is_none() { front.connect(); },
                4 => drop(front.event(Event::Down { call: 77, failure: Failure::Down })),
                _ => drop(front.say(message)),
            }
            if what % 2 == 1 { front.decide(); }
            let now = (lineage(&front), front.value("a").map_or(held.1, |(version, _)| version));
            prop_assert!(now.0 > held.0 || now >= held, "{held:?} to {now:?}");
            held = now;
        }
    }

    #[test]
    fn a_relay_takes_anything(
        said in prop::collection::vec((to_relay(), 0u64..4, 0u8..6, 0u64..400_000), 1..60),
    ) {
        let mut served = common::served::Served::new();
        for (message, link, what, pause) in said {
            served.now.0 += pause;
            match what {
                0 => drop(served.join(link, common::scope(), pause % 9)),
                1 => drop(served.primary()),
                2 => drop(served.event(RelayEvent::Left { link })),
                3 => drop(served.event(RelayEvent::Joined { link, name: "relay-2".into() })),
                _ => drop(served.say(link, message)),
            }
            let wake = served.relay.wake(served.now);
            prop_assert!(wake > Time(0));
        }
    }

    #[test]
    fn any_bytes_are_a_message_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut front = Front::following(&[("a", 10, "ten")], 12);
        if let Ok(message) = postcard::from_bytes::<FromRelay>(&bytes) {
            front.say(message);
        }
        if let Ok(message) = postcard::from_bytes::<ToRelay>(&bytes) {
            let mut served = common::served::Served::new();
            served.join(1, common::scope(), 0);
            served.say(1, message);
        }
    }

    #[test]
    fn what_is_cut_short_is_no_message(at in 0usize..200) {
        let changes = vec![change("a", 13, Some("thirteen"))];
        let bytes = postcard::to_stdvec(&FromRelay::Changes { from: Index(12), upto: Index(13), changes }).unwrap();
        prop_assert!(postcard::from_bytes::<FromRelay>(&bytes[..at % bytes.len()]).is_err());
    }
}
