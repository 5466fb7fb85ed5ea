//! Property tests: no input makes a subscriber or a relay panic, or makes a subscriber apply an older value.
mod common;
use backoff::Failure;
use cluster_types::{Index, Time};
use common::{change, TestHost};
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
    fn any_change()(key in key(), version in 0u64..30, value in prop::option::of(prop::collection::vec(any::<u8>(), 0..9)), is_primary in any::<bool>()) -> Change {
        let class = if is_primary { Class::Primary } else { Class::Configuration };
        Change { version: Index(version), class, key, value: value.map(Into::into) }
    }
}

fn index() -> impl Strategy<Value = Index> {
    prop_oneof![9 => 0u64..30, 1 => any::<u64>()].prop_map(Index)
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(any_change(), 0..6)
}

fn relay_message() -> impl Strategy<Value = RelayMessage> {
    prop_oneof![
        (5u64..9).prop_map(|log_id| RelayMessage::Subscribed { log_id }),
        Just(RelayMessage::RetryLater),
        (index(), index(), changes()).prop_map(|(from, up_to, changes)| RelayMessage::Changes {
            from,
            up_to,
            changes
        }),
        (index(), any::<bool>(), any::<bool>(), changes()).prop_map(|(base, is_first, is_last, entries)| {
            RelayMessage::SnapshotChunk { base, is_first, is_last, entries }
        }),
        (index(), prop::option::of(any::<u64>()), prop::option::of(any::<std::time::Duration>())).prop_map(
            |(up_to, checksum, isolated_for)| RelayMessage::Heartbeat { up_to, checksum, isolated_for }
        ),
    ]
}

fn subscriber_message() -> impl Strategy<Value = SubscriberMessage> {
    let scope = prop_oneof![Just(Scope::Everything), Just(common::scope()), Just(Scope::Topics([].into()))];
    let rejection =
        (key(), index(), ".{0,20}").prop_map(|(key, version, reason)| Rejection { key, version, reason });
    prop_oneof![
        (5u64..9, scope, index()).prop_map(|(log_id, scope, from)| SubscriberMessage::Subscribe {
            log_id,
            scope,
            from
        }),
        (index(), prop::collection::vec(rejection, 0..10))
            .prop_map(|(up_to, rejected)| SubscriberMessage::Acknowledge { up_to, rejected }),
        Just(SubscriberMessage::NextChunk),
        (0u64..9, 0u64..9).prop_map(|(sequence, applied)| SubscriberMessage::Report(common::report(
            "relay-2", sequence, applied
        ))),
    ]
}

fn rejection_of(name: &str) -> Vec<(Key, String)> {
    vec![(Key::new(Topic::Fleet, name), "no".into())]
}

proptest! {
    #[test]
    fn subscriber_handles_any_input_and_applies_nothing_older(
        inputs in prop::collection::vec((relay_message(), 0u8..8, 0u64..400_000), 1..60)
    ) {
        let mut host = TestHost::following(&[("a", 10, "ten")], 12);
        let log_id = |host: &TestHost| host.subscriber.state().log_id();
        let mut held = (log_id(&host), 10);
        for (message, choice, pause) in inputs {
            host.now.0 += pause;
            match choice {
                0 => drop(host.handle(SubscriberEvent::ApplyFinished { rejected: rejection_of("a") })),
                1 => drop(host.handle(SubscriberEvent::ApplyFinished { rejected: rejection_of("zz") })),
                2 => host.disconnect(),
                3 => if host.followed().is_none() { host.connect(); },
                4 => drop(host.handle(SubscriberEvent::Disconnected { connection: 77, failure: Failure::Down })),
                _ => drop(host.receive(message)),
            }
            if choice % 2 == 1 { host.accept(); }
            let now = (log_id(&host), host.value("a").map_or(held.1, |(version, _)| version));
            prop_assert!(now.0 > held.0 || now >= held, "{held:?} to {now:?}");
            held = now;
        }
    }

    #[test]
    fn relay_handles_any_input(
        inputs in prop::collection::vec((subscriber_message(), 0u64..4, 0u8..6, 0u64..400_000), 1..60),
    ) {
        let mut relay = common::relay::TestRelay::new();
        for (message, connection, choice, pause) in inputs {
            relay.now.0 += pause;
            match choice {
                0 => drop(relay.subscribe(connection, common::scope(), pause % 9)),
                1 => drop(relay.write_primary()),
                2 => drop(relay.handle(RelayEvent::Disconnected { connection })),
                3 => drop(relay.handle(RelayEvent::Connected { connection, name: "relay-2".into() })),
                _ => drop(relay.receive(connection, message)),
            }
            let wakeup = relay.inner.next_wakeup(relay.now);
            prop_assert!(wakeup > Time(0));
        }
    }

    #[test]
    fn handles_any_decodable_message(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut host = TestHost::following(&[("a", 10, "ten")], 12);
        if let Ok(message) = postcard::from_bytes::<RelayMessage>(&bytes) {
            host.receive(message);
        }
        if let Ok(message) = postcard::from_bytes::<SubscriberMessage>(&bytes) {
            let mut relay = common::relay::TestRelay::new();
            relay.subscribe(1, common::scope(), 0);
            relay.receive(1, message);
        }
    }

    #[test]
    fn rejects_truncated_message(at in 0usize..200) {
        let changes = vec![change("a", 13, Some("thirteen"))];
        let bytes = postcard::to_stdvec(&RelayMessage::Changes { from: Index(12), up_to: Index(13), changes }).unwrap();
        prop_assert!(postcard::from_bytes::<RelayMessage>(&bytes[..at % bytes.len()]).is_err());
    }
}
