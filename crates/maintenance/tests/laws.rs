//! Whatever stands in the log, in whatever order, doubled and late: what must hold holds.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::{BackendId, Index};
use kit::law::Law;
use kit::*;
use maintenance::{Command, Desk, Effect, Presence, Rules, View};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

const BOXES: [&str; 8] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"];
const FRONTS: [&str; 3] = ["f1", "f2", "f3"];

fn pick<'a>(rng: &mut SmallRng, from: &[&'a str]) -> &'a str {
    from.choose(rng).unwrap()
}

fn some(rng: &mut SmallRng) -> BTreeSet<BackendId> {
    (0..rng.random_range(1..4)).map(|_| id(pick(rng, &BOXES))).collect()
}

fn fleet(rng: &mut SmallRng) -> (Rules, View) {
    let out = rng.random_range(1..5);
    let rules = rules(out, rng.random_range(1..=out), rng.random_range(1..=out));
    let mut view =
        view(&BOXES.join(" "), &[("v", 0, "a1 b1 c1"), ("w", 0, "a1 a2 b2 c2"), ("x", 0, "b2 b3")]);
    view.volumes.values_mut().for_each(|v| v.reserved = rng.random_range(0..2) * 100);
    (rules, view)
}

/// Any command, of whoever.
fn any_command(rng: &mut SmallRng, desk: &Desk, view: &View) -> Command {
    let name = pick(rng, &["w1", "w2", "w3", "w4"]).to_string();
    let grants: Vec<Index> = desk.grants().map(|(n, _)| n).chain([Index(7)]).collect();
    let grant = *grants.choose(rng).unwrap();
    let member = front(pick(rng, &FRONTS));
    let id = id(pick(rng, &BOXES));
    let number = desk.returning().find(|(b, _)| **b == id).map_or(Index(3), |(_, r)| r.number());
    match rng.random_range(0..14) {
        0 | 1 => Command::Wish {
            name: name + pick(rng, &["", "-", "+"]),
            boxes: some(rng),
            work_ms: rng.random_range(0..9000),
            by_ms: rng.random_bool(0.2).then(|| rng.random_range(0..100_000)),
            together: rng.random_bool(0.2),
        },
        2 => Command::Withdraw { name },
        3 => Command::Grant { name, boxes: some(rng) },
        4 | 5 => Command::Drained { grant, member },
        6 => Command::Returned { name, id },
        7 => Command::Done { name },
        8 => {
            let parts = FRONTS.map(|m| (front(m), rng.random_range(0..600)));
            Command::Stage { id, after: number, stage: rng.random_range(0..3), parts: parts.into() }
        }
        9 => Command::Staged { id, number, member },
        10 => Command::Warm { id, number },
        11 => {
            let mut fact = view.boxes[&id].clone();
            (fact.died, fact.cold, fact.listed) =
                (rng.random_bool(0.2), rng.random_bool(0.3), rng.random_bool(0.9));
            let seen = Index(desk.applied().0.saturating_sub(rng.random_range(0..3)));
            Command::Observe { seen, whole: false, boxes: [(id, fact)].into(), volumes: Default::default() }
        }
        12 => Command::Roster {
            member,
            presence: *[present(1), present(2), Presence::Left].choose(rng).unwrap(),
        },
        _ => Command::Tick,
    }
}

/// An hour of any commands, proposals of leaders that know only an earlier state among them.
fn mess(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (rules, view) = fleet(&mut rng);
    let (mut law, mut desk, mut twin) = (Law::default(), Desk::default(), Desk::default());
    let mut at_ms = 1000;
    let mut earlier = vec![desk.clone()];
    let mut queue = vec![("op", Command::Rules(rules.clone()))];
    queue.extend(FRONTS.map(|m| (m, Command::Roster { member: front(m), presence: present(1) })));
    for _ in 0..300 {
        if queue.is_empty() {
            if rng.random_bool(0.3) {
                let leader = earlier.choose(&mut rng).unwrap();
                let view = View { seen: leader.applied(), ..view.clone() };
                queue.extend(leader.propose(at_ms, &view).into_iter().map(|c| ("leader", c)));
            } else {
                queue.push((pick(&mut rng, &FRONTS), any_command(&mut rng, &desk, &view)));
            }
            continue;
        }
        let (by, command) = queue.remove(0);
        at_ms = (at_ms + rng.random_range(0..2000)).saturating_sub(rng.random_range(0..1500));
        let index = Index(desk.applied().0 + rng.random_range(1..3));
        let before = desk.clone();
        let effects = desk.apply(index, at_ms, &front(by), &command);
        law.check(&view, &rules, (&before, &desk), (by, &command), &effects);
        assert_eq!(effects, twin.apply(index, at_ms, &front(by), &command));
        // The same entry once more changes nothing.
        let old = desk.apply(index, at_ms, &front(by), &command);
        assert!(matches!(&old[..], [Effect::Refused { .. }]));
        twin.apply(index, at_ms, &front(by), &command);
        if rng.random_bool(0.1) {
            twin = postcard::from_bytes(&postcard::to_stdvec(&desk).unwrap()).unwrap();
            earlier.push(desk.clone());
            earlier.drain(..earlier.len().saturating_sub(4));
        }
        assert_eq!(desk, twin);
    }
}

/// Younger wishes come all the time, and what they take out never comes back. As soon as what was out before an older one's
/// wish is warm again, the older one goes.
fn stream(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (rules, view) = fleet(&mut rng);
    let mut bench = Bench::new(rules, view, "f1");
    let feasible = |boxes: &BTreeSet<BackendId>, bench: &Bench| {
        let mut empty = bench.clone();
        empty.run(
            "f1",
            &together(Command::Wish {
                name: "t".into(),
                boxes: boxes.clone(),
                work_ms: 1,
                by_ms: None,
                together: true,
            }),
        );
        empty.lead();
        empty.out().len() == boxes.len()
    };
    let boxes = some(&mut rng);
    if !feasible(&boxes, &bench) {
        return;
    }
    (0..rng.random_range(1..5)).for_each(|n| {
        bench.run("f1", &wish(&format!("before{n}"), pick(&mut rng, &BOXES)));
        bench.lead();
    });
    let first: Vec<String> = bench.desk.open().iter().map(|(n, _)| n.to_string()).collect();
    bench.run(
        "f1",
        &Command::Wish { name: "old".into(), boxes: boxes.clone(), work_ms: 1, by_ms: None, together: true },
    );
    let old_out = |bench: &Bench| bench.out().values().any(|n| n == "old");
    let mut young = 0;
    for name in first.iter().chain([&String::new(), &String::new()]) {
        for _ in 0..3 {
            let boxes = some(&mut rng);
            let command = Command::Wish {
                name: format!("young{young}"),
                boxes,
                work_ms: 1,
                by_ms: None,
                together: rng.random_bool(0.3),
            };
            bench.run("f1", &command);
            bench.lead();
            young += 1;
        }
        if old_out(&bench) {
            return;
        }
        if !name.is_empty() {
            bench.drain();
            bench.run("f1", &done(name));
            bench.warm();
        }
    }
    assert!(old_out(&bench), "starved: {:?} is out, {boxes:?} waits", bench.out());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_commands_in_any_order(seed in any::<u64>()) {
        mess(seed);
    }

    #[test]
    fn none_starves(seed in any::<u64>()) {
        stream(seed);
    }
}
