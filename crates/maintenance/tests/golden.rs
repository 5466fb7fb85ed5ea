//! The stored and sent forms, held byte for byte by the files in `tests/golden/`.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::{Index, Time, Volume};
use kit::*;
use maintenance::{
    Action, Bound, BoxFact, Command, Desk, Effect, Event, Fate, Fault, FrontSide, Kept, Order, Presence,
    Rules, VolumeFact, Why,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::path::PathBuf;
use std::time::Duration;

fn golden(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Encoding gives the file, decoding the file gives the value, and writing that back gives the file again.
fn holds<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let file = golden(name);
    assert_eq!(postcard::to_stdvec(value).unwrap(), file, "{name}: {value:?}");
    let read: T = postcard::from_bytes(&file).unwrap();
    assert_eq!(read, *value, "{name}");
    assert_eq!(postcard::to_stdvec(&read).unwrap(), file, "{name}");
}

fn all_rules() -> Rules {
    Rules {
        out: 9,
        out_hall: 2,
        out_volume: 3,
        fresh_ms: 8_000,
        gone_ms: 500_000,
        stages: vec![200, 600, 1000],
        stage_ms: 7_000,
    }
}

fn commands() -> Vec<(&'static str, Command)> {
    let (name, member) = ("rack-7".to_string(), front("front-1"));
    let backend = BoxFact { hall: "hall-a".into(), listed: true, died: false, cold: true };
    let volume = VolumeFact { reserved: 1_000_000, boxes: [(id("a1"), 300), (id("b1"), 70_000)].into() };
    let parts = BTreeMap::from([(front("front-1"), 150), (front("front-2"), 1000)]);
    let (grant, after, number) = (Index(77), Index(300), Index(70_000));
    let volumes = [(Volume::from("00000000000000ff"), volume)].into();
    let boxes = set("a1 b1");
    let open = Command::Wish {
        name: name.clone(),
        boxes: boxes.clone(),
        work_ms: 3_600_000,
        by_ms: Some(1_790_000_000_000),
        together: true,
    };
    let unbounded =
        Command::Wish { name: name.clone(), boxes: set("c1"), work_ms: 1, by_ms: None, together: false };
    vec![
        ("command-00-rules", Command::Rules(all_rules())),
        ("command-01-request", open),
        ("command-01-request-without-deadline", unbounded),
        ("command-02-withdraw", Command::Withdraw { name: name.clone() }),
        ("command-03-grant", Command::Grant { name: name.clone(), boxes }),
        ("command-04-drained", Command::Drained { grant, member: member.clone() }),
        ("command-05-returned", Command::Returned { name: name.clone(), id: id("a1") }),
        ("command-06-finish", Command::Done { name }),
        ("command-07-set-stage", Command::Stage { id: id("a1"), after, stage: 2, parts }),
        ("command-08-stage-acknowledged", Command::Staged { id: id("a1"), number, member: member.clone() }),
        ("command-09-recovered", Command::Warm { id: id("a1"), number }),
        (
            "command-10-observe",
            Command::Observe { seen: after, whole: true, boxes: [(id("a1"), backend)].into(), volumes },
        ),
        (
            "command-11-presence-present",
            Command::Roster { member: member.clone(), presence: Presence::Present { life: 1 << 40 } },
        ),
        ("command-11-presence-left", Command::Roster { member: member.clone(), presence: Presence::Left }),
        ("command-12-declare-dead", Command::Excuse { member }),
        ("command-13-tick", Command::Tick),
    ]
}

/// A state in which each map holds something, each backend outcome, placement and member standing occurs.
fn filled_state() -> Bench {
    let boxes = "a1 a2 a3 b1 b2 c1 c2 d1 d2";
    let mut bench =
        Bench::new(rules(8, 2, 8), view(boxes, &[("v", 100, "a1 b1 d2"), ("w", 0, "c1 c2")]), "f1 f2 f3 f4");
    bench.run("f1", &wish("first", "a1"));
    bench.run("f1", &wish("mixed", "a2 a3 b1"));
    bench.lead();
    bench.run("f2", &by(wish("timed", "a3 b2"), 30_000));
    bench.run("f2", &wish("partly", "a3 d1"));
    bench.lead();
    bench.drain();
    bench.run("f2", &withdraw("partly"));
    bench.run("f2", &wish("past", "d2"));
    bench.run("f2", &withdraw("past"));
    bench.run("f1", &Command::Returned { name: "mixed".into(), id: id("b1") });
    bench.lead();
    bench.run("f3", &Command::Roster { member: front("f3"), presence: Presence::Left });
    bench.run("f1", &Command::Excuse { member: front("f4") });
    bench.lead();
    let number = bench.desk.returning().next().unwrap().1.number();
    bench.run("f1", &Command::Staged { id: id("b1"), number, member: front("f1") });
    bench.at_ms += 100_000;
    bench.run("f2", &wish("listed", "c1 c2"));
    bench.view.boxes.remove(&id("c2"));
    bench.lead();
    let grant = bench.desk.grants().last().unwrap().0;
    bench.run("f1", &Command::Drained { grant, member: front("f1") });
    let carriers = (0..=maintenance::limits::CARRIERS).map(|n| (id(&n.to_string()), 1)).collect();
    let oversized = VolumeFact { reserved: 0, boxes: carriers };
    bench.run(
        "f1",
        &Command::Observe {
            seen: Index(bench.desk.applied().0),
            whole: false,
            boxes: BTreeMap::new(),
            volumes: [(Volume::from("x"), oversized)].into(),
        },
    );
    bench.run("f1", &withdraw("none"));
    bench
}

#[test]
fn commands_keep_their_bytes() {
    for (name, command) in commands() {
        holds(&format!("{name}.postcard"), &command);
    }
}

#[test]
fn replicated_state_keeps_its_bytes() {
    holds::<Desk>("state-empty.postcard", &Desk::default());
    holds("state-filled.postcard", &filled_state().desk);
}

#[test]
fn persisted_orders_keep_their_bytes() {
    holds("persisted-orders-empty.postcard", &Kept::default());
    let mut actions = Vec::new();
    let mut side = FrontSide::new(Duration::from_millis(250), None, Time(0), &mut actions);
    side.handle(Time(0), Event::Lease { until: Time(60_000_000) }, &mut actions);
    let drain = |grant| Order::Drain { grant: Index(grant), heard: false };
    let orders = BTreeMap::from([(id("a1"), drain(500))]);
    side.handle(Time(1), Event::Orders { index: Index(500), orders }, &mut actions);
    side.handle(Time(2), Event::Refounded, &mut actions);
    let part = Order::Part { number: Index(300), part: 750, heard: false };
    let orders = BTreeMap::from([(id("b1"), drain(200)), (id("c1"), part)]);
    side.handle(Time(3), Event::Orders { index: Index(301), orders }, &mut actions);
    let kept = actions.iter().rev().find_map(|action| match action {
        Action::Keep { kept, .. } => Some(kept.clone()),
        _ => None,
    });
    holds("persisted-orders.postcard", &kept.unwrap());
}

fn faults() -> Vec<Fault> {
    let broken = [
        Rules { out_hall: 10, ..all_rules() },
        Rules { out_volume: 10, ..all_rules() },
        Rules { fresh_ms: 0, ..all_rules() },
        Rules { stages: Vec::new(), ..all_rules() },
        Rules { stages: vec![200, 200], ..all_rules() },
        Rules { stages: vec![200, 1001], ..all_rules() },
    ];
    broken.iter().map(|rules| rules.check().unwrap_err()).collect()
}

fn reasons() -> Vec<Why> {
    let volume = || Volume::from("00000000000000ff");
    let mut reasons = vec![
        Why::Old,
        Why::Late,
        Why::Unknown,
        Why::NameTaken,
        Why::Full,
        Why::Malformed,
        Why::NotListed(id("a1")),
        Why::Busy(id("a1")),
        Why::Stale,
        Why::NoFronts,
        Why::NotItsWord,
        Why::NotPresent,
        Why::Bound(Bound::Whole),
        Why::Bound(Bound::Zone("hall-a".into())),
        Why::Bound(Bound::Volume(volume())),
        Why::Bound(Bound::Reserve(volume())),
        Why::Behind("rack-7".into()),
        Why::TooMuch,
        Why::NotWarm,
    ];
    reasons.extend(faults().into_iter().map(Why::Rules));
    reasons
}

/// What operators read in the replies of the interface.
#[test]
fn operator_text_keeps_its_wording() {
    let mut text = String::new();
    for reason in reasons() {
        writeln!(text, "{reason}").unwrap();
    }
    let outcomes =
        [Fate::Waiting, Fate::Out(Index(77)), Fate::Back, Fate::Missed, Fate::Withdrawn, Fate::Gone];
    for outcome in outcomes {
        writeln!(text, "{}", format!("{outcome:?}").to_lowercase()).unwrap();
    }
    let mut bench = filled_state();
    for name in ["first", "mixed", "timed", "partly", "past", "listed"] {
        writeln!(text, "{}", bench.desk.status(name).unwrap()).unwrap();
    }
    let mut commands = commands();
    let long = "n".repeat(200);
    let broken = Rules { fresh_ms: 0, ..all_rules() };
    let boxes = (0..200).map(|n| (id(&n.to_string()), BoxFact::default())).collect();
    let seen = Index(1);
    commands.extend([
        ("long", Command::Withdraw { name: long }),
        ("rules", Command::Rules(broken)),
        ("observe", Command::Observe { seen, whole: false, boxes, volumes: BTreeMap::new() }),
    ]);
    for (_, command) in commands {
        for effect in bench.run("op", &command) {
            if let Effect::Refused { what, why } = effect {
                writeln!(text, "{what}: {why}").unwrap();
            }
        }
    }
    for effect in bench.desk.apply(Index(5), 0, &front("op"), &Command::Tick) {
        if let Effect::Refused { what, why } = effect {
            writeln!(text, "{what}: {why}").unwrap();
        }
    }
    assert_eq!(text, String::from_utf8(golden("operator-text.txt")).unwrap());
}
