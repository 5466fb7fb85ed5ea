//! Coming back: parts of the cold budget, and what moves a box on.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::{Index, MemberId};
use kit::*;
use maintenance::{parts, Command, Effect, Presence, Why};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The sum of the parts is never more than the whole, and all of it as long as there is anyone.
    #[test]
    fn parts_sum_up(total in 0u16..=1000, weights in prop::collection::vec(any::<u64>(), 1..40)) {
        let weights: BTreeMap<MemberId, u64> = (0..).zip(&weights).map(|(i, w): (u32, _)| (front(&i.to_string()), *w)).collect();
        let parts = parts(total, &weights);
        prop_assert_eq!(parts.values().map(|n| u32::from(*n)).sum::<u32>(), u32::from(total));
        let more = |a: &MemberId, b: &MemberId| weights[a] > weights[b] && parts[a] + 1 < parts[b];
        prop_assert!(!weights.keys().any(|a| weights.keys().any(|b| more(a, b))), "{:?}", parts);
    }
}

fn coming_back() -> Bench {
    let mut bench = Bench::new(rules(1, 1, 1), view("a1 b1", &[]), "f1 f2 f3");
    bench.run("f1", &wish("w", "a1"));
    bench.lead();
    bench.drain();
    let traffic = [("f1", 700), ("f2", 200), ("f3", 100)].map(|(m, n)| (front(m), n));
    bench.view.traffic.insert(id("a1"), traffic.into());
    bench.run("f1", &done("w"));
    bench.lead();
    bench
}

fn step(bench: &Bench) -> (Index, Option<usize>, u32) {
    let (_, r) = bench.desk.returning().next().unwrap();
    (r.number(), r.stage(), r.most())
}

fn ack(bench: &mut Bench, name: &str) {
    let number = step(bench).0;
    bench.run(name, &Command::Staged { id: id("a1"), number, member: front(name) });
}

#[test]
fn parts_go_by_traffic_and_grow_by_stages() {
    let mut bench = coming_back();
    let parts = bench.desk.returning().next().unwrap().1.parts();
    assert!(parts[&front("f1")] > 200 && parts[&front("f3")] < 40, "{parts:?}");
    assert_eq!(step(&bench).1, Some(0));
    let early = Command::Warm { id: id("a1"), number: step(&bench).0 };
    let refused = bench.run("x", &early);
    assert!(matches!(&refused[..], [Effect::Refused { why: Why::NotWarm, .. }]), "{refused:?}");
    bench.view.boxes.get_mut(&id("a1")).unwrap().cold = true;
    bench.view.well_ms.insert(id("a1"), 1000);
    bench.lead();
    assert_eq!((step(&bench).1, step(&bench).2), (Some(1), 1000));
    bench.view.boxes.get_mut(&id("a1")).unwrap().cold = false;
    bench.view.well_ms.insert(id("a1"), 999);
    bench.lead();
    assert_eq!(bench.desk.returning().count(), 1);
    bench.view.well_ms.insert(id("a1"), 1000);
    bench.lead();
    assert!(bench.effects.contains(&Effect::In { id: id("a1") }));
    assert!(bench.desk.out().is_empty());
}

/// Guards against fronts that hear of a step at different times: old and new parts together stay within the stage.
#[test]
fn a_part_is_given_to_another_only_once_it_is_let_go() {
    let mut bench = coming_back();
    let before = step(&bench);
    let moved = BTreeMap::from([(front("f1"), 30), (front("f2"), 270)]);
    let stage = |after, parts: &BTreeMap<MemberId, u16>| Command::Stage {
        id: id("a1"),
        after,
        stage: 0,
        parts: parts.clone(),
    };
    let refused = |effects: &[Effect]| match effects {
        [Effect::Refused { why, .. }] => Some(why.clone()),
        _ => None,
    };
    assert_eq!(refused(&bench.run("x", &stage(before.0, &moved))), Some(Why::TooMuch));
    let lower = BTreeMap::from([(front("f1"), 30)]);
    assert_eq!(refused(&bench.run("x", &stage(before.0, &lower))), None);
    assert_eq!(refused(&bench.run("x", &stage(before.0, &lower))), Some(Why::Late));
    assert_eq!(refused(&bench.run("x", &stage(step(&bench).0, &moved))), Some(Why::TooMuch));
    ["f1", "f2", "f3"].iter().for_each(|m| ack(&mut bench, m));
    assert_eq!(refused(&bench.run("x", &stage(step(&bench).0, &moved))), None);
    assert!(step(&bench).2 <= 300);
}

/// A front that leaves gives its part up; a newcomer gets one.
#[test]
fn fronts_come_and_leave_meanwhile() {
    let mut bench = coming_back();
    bench.run("f1", &Command::Roster { member: front("f1"), presence: Presence::Left });
    bench.run("f4", &Command::Roster { member: front("f4"), presence: present(1) });
    for _ in 0..4 {
        bench.lead();
        assert!(step(&bench).2 <= 300);
        ["f2", "f3", "f4"].iter().for_each(|m| ack(&mut bench, m));
    }
    let parts = bench.desk.returning().next().unwrap().1.parts();
    assert_eq!((parts.len(), parts.values().sum::<u16>()), (3, 300));
}

/// It died on its way: all stages again, and it counts all the time.
#[test]
fn a_box_dies_on_its_way_back() {
    let mut bench = coming_back();
    bench.view.well_ms.insert(id("a1"), 1000);
    bench.view.boxes.get_mut(&id("a1")).unwrap().cold = true;
    bench.lead();
    assert_eq!(step(&bench).1, Some(1));
    bench.view.well_ms.clear();
    bench.view.boxes.get_mut(&id("a1")).unwrap().died = true;
    bench.lead();
    assert_eq!((step(&bench).1, step(&bench).2), (None, 1000), "what fronts hold counts until they let go");
    bench.view.boxes.get_mut(&id("a1")).unwrap().died = false;
    bench.lead();
    assert_eq!(step(&bench).1, Some(0));
    assert!(bench.desk.out().contains(&id("a1")));
    assert!(bench.desk.returning().next().unwrap().1.parts().values().sum::<u16>() <= 300);
}
