//! Samples of all stored and sent types.
use super::*;
use cluster_types::Volume;

pub fn sample_rules() -> Rules {
    Rules {
        max_out: 9,
        max_out_per_zone: 2,
        max_out_per_volume: 3,
        max_measurement_age_ms: 8_000,
        unlisted_grace_ms: 500_000,
        stages: vec![200, 600, 1000],
        stage_ms: 7_000,
    }
}

fn observe_command(min_applied: Index) -> Command {
    let facts =
        BackendFacts { zone: "hall-a".into(), is_listed: true, has_failed: false, is_warming_up: true };
    let capacities = [(backend("a1"), 300), (backend("b1"), 70_000)].into();
    let volume = VolumeFacts { reserved: 1_000_000, backends: capacities };
    Command::Observe {
        min_applied,
        is_complete: true,
        backends: [(backend("a1"), facts)].into(),
        volumes: [(Volume::from("00000000000000ff"), volume)].into(),
    }
}

fn request_commands() -> [(&'static str, Command); 2] {
    let bounded = Command::Request {
        name: "rack-7".into(),
        backends: backends("a1 b1"),
        work_ms: 3_600_000,
        deadline_ms: Some(1_790_000_000_000),
        all_at_once: true,
    };
    let unbounded = Command::Request {
        name: "rack-7".into(),
        backends: backends("c1"),
        work_ms: 1,
        deadline_ms: None,
        all_at_once: false,
    };
    [("command-01-request", bounded), ("command-01-request-without-deadline", unbounded)]
}

pub fn commands() -> Vec<(&'static str, Command)> {
    let (name, member_1) = ("rack-7".to_string(), member("front-1"));
    let quotas = BTreeMap::from([(member("front-1"), 150), (member("front-2"), 1000)]);
    let (grant, after, step) = (Index(77), Index(300), Index(70_000));
    let mut commands = vec![("command-00-rules", Command::SetRules(sample_rules()))];
    commands.extend(request_commands());
    commands.extend([
        ("command-02-withdraw", withdraw("rack-7")),
        ("command-03-grant", Command::Grant { name, backends: backends("a1 b1") }),
        ("command-04-drained", Command::ReportDrained { grant, member: member_1.clone() }),
        ("command-05-returned", return_backend("rack-7", "a1")),
        ("command-06-finish", finish("rack-7")),
        ("command-07-set-stage", Command::SetStage { backend: backend("a1"), after, stage: 2, quotas }),
        (
            "command-08-stage-acknowledged",
            Command::AcknowledgeStage { backend: backend("a1"), step, member: member_1.clone() },
        ),
        ("command-09-recovered", Command::CompleteRecovery { backend: backend("a1"), step }),
        ("command-10-observe", observe_command(after)),
        ("command-11-presence-present", set_presence("front-1", present(1 << 40))),
        ("command-11-presence-left", set_presence("front-1", Presence::Left)),
        ("command-12-declare-dead", Command::DeclareDead { member: member_1 }),
        ("command-13-tick", Command::Tick),
    ]);
    commands
}

/// A state in which no map is empty and each backend outcome, maintenance phase and member status occurs.
pub fn filled_state() -> Harness {
    let names = "a1 a2 a3 b1 b2 c1 c2 d1 d2";
    let view = view(names, &[("v", 100, "a1 b1 d2"), ("w", 0, "c1 c2")]);
    let mut harness = Harness::new(rules(8, 2, 8), view, "f1 f2 f3 f4");
    harness.run("f1", &request("first", "a1"));
    harness.run("f1", &request("mixed", "a2 a3 b1"));
    harness.run_leader();
    harness.run("f2", &with_deadline(request("timed", "a3 b2"), 30_000));
    harness.run("f2", &request("partly", "a3 d1"));
    harness.run_leader();
    harness.drain();
    harness.run("f2", &withdraw("partly"));
    harness.run("f2", &request("past", "d2"));
    harness.run("f2", &withdraw("past"));
    harness.run("f1", &return_backend("mixed", "b1"));
    harness.run_leader();
    harness.run("f3", &set_presence("f3", Presence::Left));
    harness.run("f1", &Command::DeclareDead { member: member("f4") });
    harness.run_leader();
    let step = harness.state.recoveries().next().unwrap().1.step();
    harness.run("f1", &Command::AcknowledgeStage { backend: backend("b1"), step, member: member("f1") });
    harness.now_ms += 100_000;
    harness.run("f2", &request("listed", "c1 c2"));
    harness.view.backends.remove(&backend("c2"));
    harness.run_leader();
    let grant = harness.state.grants().last().unwrap().0;
    harness.run("f1", &Command::ReportDrained { grant, member: member("f1") });
    let too_many = 0..=maintenance::limits::BACKENDS_PER_VOLUME;
    let capacities = too_many.map(|n| (backend(&n.to_string()), 1)).collect();
    let oversized = VolumeFacts { reserved: 0, backends: capacities };
    let observe = Command::Observe {
        min_applied: Index(harness.state.applied().0),
        is_complete: false,
        backends: BTreeMap::new(),
        volumes: [(Volume::from("x"), oversized)].into(),
    };
    harness.run("f1", &observe);
    harness.run("f1", &withdraw("none"));
    harness
}
