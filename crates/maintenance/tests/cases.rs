//! The hard cases, each by its name.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::{Index, MemberId};
use kit::*;
use maintenance::{Command, Desk, Effect, Fate, Seat, Status, Why};
use std::collections::BTreeSet;

const BOXES: &str = "a1 a2 b1 b2 c1";

fn bench() -> Bench {
    Bench::new(rules(3, 1, 3), view(BOXES, &[("v", 100, "a1 b1 c1")]), "f1 f2 f3")
}

fn drained(bench: &mut Bench, grant: Index, name: &str) -> Vec<Effect> {
    bench.run(name, &Command::Drained { grant, member: front(name) })
}

fn refused(effects: &[Effect]) -> Option<&Why> {
    effects.iter().find_map(|e| match e {
        Effect::Refused { why, .. } => Some(why),
        _ => None,
    })
}

fn told(effects: &[Effect]) -> Option<&Status> {
    effects.iter().find_map(|e| match e {
        Effect::Told(status) => Some(status),
        _ => None,
    })
}

/// The grant stands in the log. Whoever leads next goes on with it, and the dead front is waited for until it is heard in a
/// new life, or an operator answers for it.
#[test]
fn the_granter_dies_between_grant_and_drain() {
    for excused in [false, true] {
        let mut bench = bench();
        bench.run("f1", &wish("w", "a1"));
        bench.lead();
        let grant = bench.desk.grants().next().unwrap().0;
        drained(&mut bench, grant, "f2");
        drained(&mut bench, grant, "f3");
        assert_eq!(bench.freed(), 0);
        let waits: BTreeSet<MemberId> = BTreeSet::from([front("f1")]);
        let status = bench.desk.status("w").unwrap();
        assert_eq!(status.waits_for[&grant], waits);
        assert_eq!(status.to_string(), "wish w: a1 drains, not yet at f1, in time");
        // Nobody else may say it for the dead one, nor that it left.
        let word = Command::Drained { grant, member: front("f1") };
        assert_eq!(refused(&bench.run("f2", &word)), Some(&Why::NotItsWord));
        let left = Command::Roster { member: front("f1"), presence: maintenance::Presence::Left };
        assert_eq!(refused(&bench.run("f2", &left)), Some(&Why::NotItsWord));
        if excused {
            bench.run("f2", &Command::Excuse { member: front("f1") });
            assert!(matches!(bench.desk.seat_of(&front("f1")), Some(Seat::Excused { .. })));
        } else {
            bench.run("f1", &Command::Roster { member: front("f1"), presence: present(2) });
            drained(&mut bench, grant, "f1");
        }
        assert_eq!(bench.freed(), 1);
        // A doubled report does not tell it again.
        drained(&mut bench, grant, "f2");
        assert_eq!(bench.freed(), 1);
    }
}

/// What a front reported in an earlier life is no longer known to hold.
#[test]
fn a_front_that_starts_again_reports_again() {
    let mut bench = bench();
    bench.run("f1", &wish("w", "a1"));
    bench.lead();
    let grant = bench.desk.grants().next().unwrap().0;
    drained(&mut bench, grant, "f1");
    bench.run("f1", &Command::Roster { member: front("f1"), presence: present(2) });
    drained(&mut bench, grant, "f2");
    drained(&mut bench, grant, "f3");
    assert_eq!(bench.freed(), 0);
    drained(&mut bench, grant, "f1");
    assert_eq!(bench.freed(), 1);
    let late = Command::Roster { member: front("f1"), presence: present(1) };
    assert_eq!(refused(&bench.run("f1", &late)), Some(&Why::Late));
}

/// Only one side commits. The other side's wish reaches the log once the split has healed, and waits for its turn.
#[test]
fn two_wishes_that_exclude_each_other() {
    let mut bench = bench();
    let (mut lone, far) = (bench.clone(), wish("far", "a2"));
    bench.run("f1", &wish("near", "a1"));
    bench.lead();
    // A leader on the small side proposes by its own state; the log has it only after the other's grant.
    lone.run("f3", &far);
    lone.view.seen = lone.desk.applied();
    let late: Vec<Command> = lone.desk.propose(lone.at_ms, &lone.view);
    assert!(late.iter().any(|c| matches!(c, Command::Grant { .. })));
    bench.run("f3", &far);
    late.iter().for_each(|c| {
        bench.run("f3", c);
    });
    assert!(bench.is_out("a1"));
    bench.drain();
    bench.run("f1", &done("near"));
    assert!(bench.is_out(""));
    bench.warm();
    assert!(bench.is_out("a2"));
}

/// The same name with the same content is told how it stands, also after its end; with other content it is refused.
#[test]
fn a_wish_repeated_with_the_same_name() {
    let mut bench = bench();
    let number = told(&bench.run("f1", &wish("w", "a1"))).unwrap().wish.number;
    bench.lead();
    let again = bench.run("f2", &wish("w", "a1"));
    assert_eq!(told(&again).unwrap().wish.number, number);
    assert!(matches!(told(&again).unwrap().wish.boxes[&id("a1")], Fate::Out(_)));
    assert_eq!(refused(&bench.run("f2", &wish("w", "a2"))), Some(&Why::NameTaken));
    bench.drain();
    bench.run("f1", &done("w"));
    let after = bench.run("f3", &wish("w", "a1"));
    assert_eq!(told(&after).unwrap().wish.boxes[&id("a1")], Fate::Back);
    assert_eq!(bench.desk.open().len(), 0);
    assert_eq!(refused(&bench.run("f2", &wish("w", "a2"))), Some(&Why::NameTaken));
}

/// It is told, the others of the wish go on, and it counts as out for a while: discovery also drops what has died.
#[test]
fn a_box_that_is_listed_as_gone_while_it_waits() {
    let mut bench = bench();
    bench.run("f1", &wish("first", "a1"));
    bench.lead();
    bench.drain();
    bench.run("f1", &wish("w", "a2 c1"));
    bench.run("f1", &wish("later", "a1"));
    bench.view.boxes.remove(&id("a2"));
    bench.lead();
    assert!(bench.effects.contains(&Effect::Gone { name: "w".into(), id: id("a2") }));
    assert!(bench.is_out("a1 c1"));
    bench.run("f1", &done("first"));
    bench.warm();
    assert!(bench.is_out("c1"), "a2 counts in its hall: {:?}", bench.out());
    bench.at_ms += 700_000;
    bench.lead();
    assert!(bench.is_out("a1 c1"));
    bench.run("f1", &done("w"));
    assert_eq!(bench.desk.status("w").unwrap().wish.boxes[&id("a2")], Fate::Gone);
    assert_eq!(refused(&bench.run("f1", &wish("typo", "a2"))), Some(&Why::NotListed(id("a2"))));
}

/// A leader whose clock is behind moves nothing back; one whose clock is ahead makes nothing come back or go out early, it
/// only ends what has a deadline, and says so.
#[test]
fn clocks_that_differ() {
    let mut bench = bench();
    bench.at_ms = 10_000_000;
    bench.run("f1", &wish("first", "a1"));
    bench.lead();
    bench.run("f1", &by(wish("late", "a2"), 10_200_000));
    bench.at_ms = 9_700_000;
    bench.run("f1", &Command::Tick);
    bench.lead();
    assert!(bench.is_out("a1"));
    assert_eq!(bench.desk.status("late").unwrap().wish.boxes[&id("a2")], Fate::Waiting);
    bench.drain();
    bench.at_ms = 10_300_000;
    bench.lead();
    assert!(bench.effects.contains(&Effect::Missed { name: "late".into(), boxes: set("a2") }));
    let overdue = |e: &&Effect| matches!(e, Effect::Overdue { .. });
    assert_eq!(bench.effects.iter().filter(overdue).count(), 1);
    assert!(bench.is_out("a1"), "overdue, and never silently put back");
    bench.run("f1", &done("first"));
    bench.lead();
    let stage = |b: &Bench| b.desk.returning().next().map(|(_, r)| r.stage());
    assert_eq!(stage(&bench), Some(Some(0)));
    bench.at_ms += 3_600_000;
    bench.lead();
    assert_eq!(stage(&bench), Some(Some(0)), "stages go by spans of the leader's steady clock");
}

/// The desk is its own snapshot, and a front that kept its state drains from its first moment on.
#[test]
fn a_fleet_restarted_while_three_are_out() {
    let mut bench = bench();
    bench.run("f1", &wish("w", "a1 b1 c1"));
    bench.view.volumes.clear();
    bench.lead();
    bench.drain();
    assert!(bench.is_out("a1 b1 c1"));
    let bytes = postcard::to_stdvec(&bench.desk).unwrap();
    let desk: Desk = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(desk, bench.desk);
    let (mut again, freed) = (Bench { desk, ..bench.clone() }, bench.freed());
    for name in ["f1", "f2", "f3"] {
        again.run(name, &Command::Roster { member: front(name), presence: present(2) });
        assert_eq!(again.desk.orders(&front(name)).len(), 3);
    }
    again.run("f1", &wish("next", "b2"));
    again.lead();
    assert!(again.is_out("a1 b1 c1"));
    again.run("f2", &Command::Returned { name: "w".into(), id: id("b1") });
    again.warm();
    assert!(again.is_out("a1 b2 c1"));
    assert_eq!(again.freed(), freed, "what was free is not told again");
}

/// Withdrawn, what waits and what only drains ends; what is open stays out until it is put back.
#[test]
fn a_wish_is_withdrawn() {
    let mut bench = bench();
    bench.run("f1", &wish("w", "a1 a2"));
    bench.run("f1", &wish("x", "b1 b2"));
    bench.lead();
    bench.run("f2", &withdraw("x"));
    assert!(bench.is_out("a1"));
    bench.drain();
    bench.run("f2", &withdraw("w"));
    assert!(bench.is_out("a1"));
    assert_eq!(bench.desk.status("w").unwrap().wish.boxes[&id("a2")], Fate::Withdrawn);
    bench.run("f2", &done("w"));
    assert!(bench.is_out("") && bench.desk.open().is_empty());
    assert_eq!(refused(&bench.run("f2", &withdraw("none"))), Some(&Why::Unknown));
}
