//! Entries of the replicated state machine, one of each kind.
use super::member;
use cluster_types::{BackendId, Index};
use config_distribution::{Class, Key, Put, Topic, WriteBatch};
use coordination::ledger::What;
use maintenance::{BoxFact, Command, Presence, Rules, VolumeFact};

/// An order with a key of each topic.
pub fn order() -> WriteBatch {
    let put = |topic, name, class, value: Option<&[u8]>| Put {
        class,
        key: Key::new(topic, name),
        value: value.map(Into::into),
    };
    let puts = vec![
        put(Topic::Fleet, "settings", Class::Configuration, Some(b"one")),
        put(Topic::Region("r".into()), "limit", Class::Configuration, Some(b"")),
        put(Topic::Zone("z-1".into()), "limit", Class::Configuration, None),
        put(Topic::Shard(300), "primary", Class::Primary, Some(b"b-1")),
        put(Topic::Volume("00000000000000ff".into()), "plan", Class::Configuration, Some(&[0, 255])),
    ];
    WriteBatch { puts }
}

/// One entry of each kind, in an order in which applying them makes the state hold something of everything.
pub fn entries() -> Vec<(&'static str, u8, What)> {
    let boxes: std::collections::BTreeSet<BackendId> = ["b-1".into()].into();
    let (name, id): (String, BackendId) = ("w-1".into(), "b-1".into());
    let rules = Rules { out: 2, out_hall: 1, out_volume: 1, ..Rules::default() };
    let fact = BoxFact { hall: "h-1".into(), listed: true, died: false, cold: false };
    let volume = VolumeFact { reserved: 100, boxes: [("b-1".into(), 400), ("b-2".into(), 300)].into() };
    let present =
        |number| Command::Roster { member: member(number), presence: Presence::Present { life: 5 } };
    let wish = Command::Wish {
        name: name.clone(),
        boxes: boxes.clone(),
        work_ms: 60_000,
        by_ms: Some(1_800_000_000_000),
        together: false,
    };
    let observe = Command::Observe {
        seen: Index(3),
        whole: true,
        boxes: [("b-1".into(), fact.clone()), ("b-2".into(), fact)].into(),
        volumes: [("00000000000000ff".into(), volume)].into(),
    };
    let stage = Command::Stage {
        id: id.clone(),
        after: Index(9),
        stage: 0,
        parts: [(member(1), 125), (member(2), 125)].into(),
    };
    let commands = [
        ("rules", 1, Command::Rules(rules)),
        ("roster.present", 1, present(1)),
        ("roster.present.other", 2, present(2)),
        ("observe", 1, observe),
        ("maintenance_request", 1, wish),
        ("grant", 1, Command::Grant { name: name.clone(), boxes }),
        ("drained", 1, Command::Drained { grant: Index(6), member: member(1) }),
        ("drained.other", 2, Command::Drained { grant: Index(6), member: member(2) }),
        ("returned", 1, Command::Returned { name: name.clone(), id: id.clone() }),
        ("stage", 1, stage),
        ("staged", 1, Command::Staged { id: id.clone(), number: Index(10), member: member(1) }),
        ("warm", 1, Command::Warm { id, number: Index(10) }),
        ("withdraw", 1, Command::Withdraw { name: name.clone() }),
        ("done", 1, Command::Done { name }),
        ("declare_left", 1, Command::Excuse { member: member(2) }),
        ("roster.left", 1, Command::Roster { member: member(1), presence: Presence::Left }),
        ("tick", 1, Command::Tick),
    ];
    let mut all: Vec<_> =
        commands.into_iter().map(|(name, by, command)| (name, by, What::Maintenance(command))).collect();
    all.push(("create_catalogue", 1, What::Founding));
    all.push(("config_change", 1, What::Order(order())));
    all
}
