//! Log entries of the replicated state machine, one of each kind.
use super::member;
use cluster_types::{BackendId, Index};
use config_distribution::{Class, Key, Put, Topic, WriteBatch};
use coordination::state_machine::Command;
use maintenance::{BackendFacts, Presence, Rules, VolumeFacts};

/// A write batch with a key of each topic.
pub fn config_change() -> WriteBatch {
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

fn observe() -> maintenance::Command {
    let fact = BackendFacts { zone: "h-1".into(), is_listed: true, has_failed: false, is_warming_up: false };
    let volume = VolumeFacts { reserved: 100, backends: [("b-1".into(), 400), ("b-2".into(), 300)].into() };
    maintenance::Command::Observe {
        min_applied: Index(3),
        is_complete: true,
        backends: [("b-1".into(), fact.clone()), ("b-2".into(), fact)].into(),
        volumes: [("00000000000000ff".into(), volume)].into(),
    }
}

/// One maintenance command of each kind, with the name of its golden file and the member that sends it.
fn maintenance_commands() -> [(&'static str, u8, maintenance::Command); 17] {
    let backends: std::collections::BTreeSet<BackendId> = ["b-1".into()].into();
    let (name, id): (String, BackendId) = ("w-1".into(), "b-1".into());
    let rules = Rules { max_out: 2, max_out_per_zone: 1, max_out_per_volume: 1, ..Rules::default() };
    let present = |number| maintenance::Command::SetPresence {
        member: member(number),
        presence: Presence::Present { incarnation: 5 },
    };
    let request = maintenance::Command::Request {
        name: name.clone(),
        backends: backends.clone(),
        work_ms: 60_000,
        deadline_ms: Some(1_800_000_000_000),
        all_at_once: false,
    };
    let stage = maintenance::Command::SetStage {
        backend: id.clone(),
        after: Index(9),
        stage: 0,
        quotas: [(member(1), 125), (member(2), 125)].into(),
    };
    [
        ("rules", 1, maintenance::Command::SetRules(rules)),
        ("roster.present", 1, present(1)),
        ("roster.present.other", 2, present(2)),
        ("observe", 1, observe()),
        ("maintenance_request", 1, request),
        ("grant", 1, maintenance::Command::Grant { name: name.clone(), backends }),
        ("drained", 1, maintenance::Command::ReportDrained { grant: Index(6), member: member(1) }),
        ("drained.other", 2, maintenance::Command::ReportDrained { grant: Index(6), member: member(2) }),
        ("returned", 1, maintenance::Command::ReturnBackend { name: name.clone(), backend: id.clone() }),
        ("stage", 1, stage),
        (
            "staged",
            1,
            maintenance::Command::AcknowledgeStage {
                backend: id.clone(),
                step: Index(10),
                member: member(1),
            },
        ),
        ("warm", 1, maintenance::Command::CompleteRecovery { backend: id, step: Index(10) }),
        ("withdraw", 1, maintenance::Command::Withdraw { name: name.clone() }),
        ("done", 1, maintenance::Command::Finish { name }),
        ("declare_left", 1, maintenance::Command::DeclareDead { member: member(2) }),
        ("roster.left", 1, maintenance::Command::SetPresence { member: member(1), presence: Presence::Left }),
        ("tick", 1, maintenance::Command::Tick),
    ]
}

/// One entry of each kind, ordered so that applying them fills every part of the state.
pub fn entries() -> Vec<(&'static str, u8, Command)> {
    let mut all: Vec<_> = maintenance_commands()
        .into_iter()
        .map(|(name, by, command)| (name, by, Command::Maintenance(command)))
        .collect();
    all.push(("create_catalogue", 1, Command::CreateCatalogue));
    all.push(("config_change", 1, Command::ChangeConfig(config_change())));
    all
}
