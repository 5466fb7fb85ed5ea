//! Who goes when: bounds and the order, as tables.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use kit::*;
use maintenance::{Bound, Fate, Why};
use rstest::rstest;

const BOXES: &str = "a1 a2 a3 b1 b2 b3 c1 c2 c3";

/// Wishes are made in this order, each word one box and all of a wish's words its boxes; what is out then is told. What is
/// `dead` has died before, what is `cold` is cold.
#[rstest]
#[case::whole(rules(2, 2, 2), "", "", &["a1 b1 c1"], "a1 b1")]
#[case::hall(rules(4, 1, 4), "", "", &["a1 a2 b1"], "a1 b1")]
#[case::volume(rules(4, 4, 1), "", "", &["a1 b1", "c2"], "a1 c2")]
#[case::reserve(rules(4, 4, 4), "", "", &["a2 b2 c2"], "a2")]
#[case::nothing_before_rules(rules(0, 0, 0), "", "", &["a1"], "")]
#[case::a_dead_one_counts(rules(1, 1, 1), "c1", "", &["a1"], "")]
#[case::a_dead_one_may_be_repaired(rules(1, 1, 1), "c1", "", &["c1"], "c1")]
#[case::of_the_dead_no_more_than_stated(rules(1, 1, 1), "c1 c2 b1", "", &["b1", "c1", "c2"], "b1")]
#[case::a_cold_one_counts(rules(2, 1, 1), "", "a3", &["a1", "b3"], "b3")]
#[case::a_dead_one_of_the_volume_counts(rules(4, 4, 4), "b2", "", &["a2", "a3"], "a3")]
// c2 would leave volume w without what is reserved once a2 goes, which waits longer.
#[case::held_back_by_a_reserve(rules(3, 1, 3), "", "", &["a1", "a2", "c2", "b3"], "a1 b3")]
// a1 is out and a2 waits for it. b1 takes none of what a2 waits for, and goes.
#[case::no_competition(rules(2, 1, 2), "", "", &["a1", "a2", "b3"], "a1 b3")]
// Two wait in one hall: only one of them could go anyway, and b3 and c3 go beside it.
#[case::two_wait_in_a_hall(rules(3, 1, 3), "", "", &["a1", "a2", "a3", "b3", "c3"], "a1 b3 c3")]
// b1 is cold, and b2 and b3 go together once it is warm. Beside them there is room for one of the two others, not for both.
#[case::held_back(rules(3, 2, 3), "", "b1", &["b2 b3 +", "a1 a3 +"], "")]
#[case::not_held_back(rules(3, 2, 3), "", "b1", &["b2 b3 +", "a3"], "a3")]
#[case::held_back_in_the_hall(rules(2, 2, 2), "", "", &["a1", "b1 b3 +", "b2"], "a1")]
// What can't go by what has died holds back nobody.
#[case::stuck(rules(2, 1, 2), "b3", "", &["b1", "a1"], "a1")]
#[case::stuck_for_good(rules(2, 1, 2), "", "", &["a1 a2 +", "a3"], "a3")]
#[case::the_same_box(rules(2, 2, 2), "", "", &["a1", "a1 b3 +", "b3"], "a1")]
fn goes(
    #[case] rules: maintenance::Rules,
    #[case] dead: &str,
    #[case] cold: &str,
    #[case] wishes: &[&str],
    #[case] out: &str,
) {
    let mut view = view(BOXES, &[("v", 100, "a1 b1 c1"), ("w", 200, "a2 b2 c2")]);
    view.boxes.iter_mut().for_each(|(b, f)| {
        f.died = set(dead).contains(b);
        f.cold = set(cold).contains(b);
    });
    let mut bench = Bench::new(rules, view, "f1 f2");
    for (n, boxes) in wishes.iter().enumerate() {
        let wish = wish(&format!("w{n}"), boxes.trim_end_matches('+'));
        bench.run("f1", &if boxes.ends_with('+') { together(wish) } else { wish });
    }
    bench.lead();
    assert!(bench.is_out(out), "{:?} and not {out}", bench.out());
}

/// Guards against a proposer that does not keep to the order or the bounds: what it proposes is judged again.
#[test]
fn a_proposal_is_judged_by_the_desk() {
    let mut bench = Bench::new(rules(2, 1, 2), view(BOXES, &[("v", 200, "a1 b1 c1")]), "f1");
    let first = ["a1", "a2", "a3"].map(|b| wish(&format!("w-{b}"), b));
    first.iter().for_each(|w| {
        bench.run("f1", w);
    });
    let grant =
        |name: &str, boxes: &str| maintenance::Command::Grant { name: name.into(), boxes: set(boxes) };
    let mut why = |name: &str, boxes: &str| match bench.run("deposed", &grant(name, boxes)).pop() {
        Some(maintenance::Effect::Refused { why, .. }) => Some(why),
        _ => None,
    };
    assert_eq!(why("w-a2", "a2"), Some(Why::Behind("w-a1".into())));
    assert_eq!(why("w-a1", "a1 a2"), Some(Why::Late));
    assert_eq!(why("other", "a1"), Some(Why::Unknown));
    assert_eq!(why("w-a1", "a1"), None);
    assert_eq!(why("w-a1", "a1"), Some(Why::Late));
    assert_eq!(why("w-a2", "a2"), Some(Why::Bound(Bound::Zone("a".into()))));
    bench.at_ms += 60_000;
    bench.run("f1", &wish("w-c2", "c2"));
    let stale = bench.run("deposed", &grant("w-c2", "c2"));
    assert!(matches!(&stale[..], [maintenance::Effect::Refused { why: Why::Stale, .. }]), "{stale:?}");
}

/// Guards against an observation that was made before the state that it is about changed: a box that has just been put back
/// stays cold until it was measured after that.
#[test]
fn what_was_measured_before_says_nothing() {
    let mut bench = Bench::new(rules(1, 1, 1), view(BOXES, &[]), "f1");
    bench.run("f1", &wish("w", "a1"));
    bench.lead();
    bench.drain();
    let seen = bench.desk.applied();
    bench.run("f1", &done("w"));
    let boxes = bench.view.boxes.clone();
    let late = maintenance::Command::Observe { seen, whole: true, boxes, volumes: Default::default() };
    bench.run("deposed", &late);
    let number = |b: &Bench| b.desk.returning().next().unwrap().1.number();
    for stage in 0..2 {
        let after = number(&bench);
        let stage = maintenance::Command::Stage { id: id("a1"), after, stage, parts: Default::default() };
        bench.run("leader", &stage);
    }
    let warm = maintenance::Command::Warm { id: id("a1"), number: number(&bench) };
    let refused = bench.run("leader", &warm);
    assert!(matches!(&refused[..], [maintenance::Effect::Refused { why: Why::NotWarm, .. }]), "{refused:?}");
    bench.run("f1", &wish("next", "b1"));
    bench.warm();
    assert!(bench.is_out("b1"));
}

/// Guards against a volume that is measured as carried by nobody else while a box is out: what a box carries that is out does
/// not matter, where the volume lies does.
#[test]
fn a_volume_whose_box_is_out_still_lies_there() {
    let mut bench = Bench::new(rules(3, 3, 1), view(BOXES, &[("v", 100, "a1 b1 c1")]), "f1");
    bench.run("f1", &wish("w", "a1 b1"));
    bench.lead();
    assert!(bench.is_out("a1"));
    bench.view.volumes.values_mut().for_each(|v| {
        v.boxes.insert(id("a1"), 0);
    });
    bench.at_ms += 9000;
    bench.lead();
    assert!(bench.is_out("a1"));
    let waits = bench.desk.status("w").unwrap();
    assert_eq!(waits.why, Some(Why::Bound(Bound::Volume("v".into()))));
    assert_eq!(waits.wish.boxes[&id("b1")], Fate::Waiting);
}
