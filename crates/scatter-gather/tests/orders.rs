//! Any order of events: one answer, in time, never whole with a part missing, and all memory back.
#![allow(clippy::unwrap_used)]
mod common;
use cluster_types::Time;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scatter_gather::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HALLS: [&str; 3] = ["home", "east", "we%st/,:"];

fn tier() -> impl Strategy<Value = (Vec<usize>, String)> {
    let named = proptest::collection::vec(any::<prop::sample::Index>(), 0..3);
    let halls = proptest::collection::vec(0..HALLS.len(), 1..8);
    (halls, 0..4u8, named, 0.1..1.0f64, any::<bool>(), 150..900u64, 0.0..1.0f64).prop_map(
        |(halls, kind, named, share, part, most, remote)| {
            let count = halls.len();
            let mut names: Vec<String> = named.iter().map(|i| format!("\"p{}\"", i.index(count))).collect();
            names.sort();
            names.dedup();
            let needs = match kind {
                0 => "\"all\"".into(),
                1 => format!("{{ at_least = {}, named = [{}] }}", count / 2 + 1, names.join(",")),
                2 => format!("{{ each_hall = {share:.2} }}"),
                _ => format!("{{ named = [\"p0\"], at_least = 1, each_hall = {share:.2} }}"),
            };
            let otherwise = if part { "in-part" } else { "fail" };
            let text = format!(
                "suffices = {needs}\notherwise = \"{otherwise}\"\nmost_bytes = {most}\nremote_share = {remote:.2}"
            );
            (halls, text.replace("remote_share = 0.5\n", ""))
        },
    )
}

/// What happens: after so many ms a part ends so, time passes, news come, or the client leaves.
fn step() -> impl Strategy<Value = (u64, u8, usize, u64)> {
    (0..200u64, 0..20u8, 0..9usize, 0..260u64)
}

fn build(halls: &[usize], more: &str) -> Policy {
    let parts: Vec<String> = halls.iter().enumerate().map(|(i, h)| format!("p{i}@{}", HALLS[*h])).collect();
    let text = more.replace("remote_share = ", "#");
    let share = more.split("remote_share = ").nth(1).unwrap().parse().unwrap();
    Policy { remote_share: share, ..(*policy(&parts.join(" "), &text)).clone() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_answer_in_time_and_true((halls, more) in tier(), steps in proptest::collection::vec(step(), 0..60),
                                   doubt in 0..9u32, room in 100..2000u64) {
        let policy = std::sync::Arc::new(build(&halls, &more));
        let mut known = Halls::new(Some("home".into()), Rules::default());
        (0..doubt).for_each(|i| known.silent(Time(u64::from(i)), &HALLS[1 + i as usize % 2].into(), ms(900)));
        let budget = Budget::new(room);
        let mut shared = shared_with(budget.clone());
        shared.halls = known;
        let mut b = Bench::new(&policy, 0, 1000, shared);
        let mut now = 0;
        let mut out: BTreeSet<usize> = b.asked.iter().copied().collect();
        let mut served: BTreeMap<usize, u64> = BTreeMap::new();
        let (mut late, mut left) = (0, false);
        for (after, kind, part, size) in steps {
            b.pass(now + after);
            now += after;
            let over = b.gather.over();
            let result = match kind {
                0..10 => Ended::Served(vec![7; size as usize]),
                10..12 => Ended::Refused((size > 100).then(|| ms(size))),
                12..14 => Ended::Failed { reason: "x".into(), reached: size > 100 },
                14 if size < 30 => {
                    left |= !over;
                    b.event(at(now), Event::ClientLeft);
                    continue;
                }
                15 => {
                    let news = HallNews { hall: HALLS[part % 3].into(), doubt: size as f32 / 200.0, sources: 3,
                                          age: Duration::ZERO };
                    b.shared.halls.heard(at(now), &news);
                    b.event(at(now), Event::HallChanged);
                    continue;
                }
                _ => continue,
            };
            if matches!(result, Ended::Served(_)) && out.remove(&part) {
                if over { late += 1 } else { served.insert(part, size); }
            } else {
                out.remove(&part);
            }
            b.ended(now, part, result);
            prop_assert!(b.gather.held() <= budget.held() && budget.held() <= room);
            prop_assert!(b.gather.held() <= policy.most_bytes);
        }
        b.pass(5000);
        prop_assert_eq!(b.answers.len(), usize::from(!left));
        prop_assert!(b.gather.over() && b.gather.wake().is_none());
        prop_assert_eq!(b.shared.counts.late, late);
        prop_assert_eq!(b.shared.counts.overdue, 0);
        if let Some((when, answer)) = b.answers.first() {
            prop_assert!(*when <= at(980));
            let text = answer.told().text();
            prop_assert_eq!(parse(&text).unwrap(), answer.told());
            match answer {
                Answer::Gathered(gathered) => {
                    let here: Vec<usize> =
                        gathered.values().enumerate().filter(|(_, (_, v))| v.is_some()).map(|(i, _)| i).collect();
                    prop_assert!(here.iter().all(|i| served.contains_key(i)));
                    prop_assert!(policy.answers(|i| here.contains(&i)));
                    prop_assert_eq!(gathered.whole(), here.len() == halls.len());
                    prop_assert_eq!(gathered.joined().is_some(), text == "whole");
                    prop_assert_eq!(gathered.missing().len() + here.len(), halls.len());
                    prop_assert_eq!(budget.held(), here.iter().map(|i| served[i]).sum::<u64>());
                }
                Answer::Failed(failure) => prop_assert!(failure.missing.len() <= halls.len()),
            }
        }
        b.answers.clear();
        prop_assert_eq!(budget.held(), 0);
    }

    #[test]
    fn what_is_worded_is_read_again(list in proptest::collection::vec((".*", ".*", 0..4u8, ".*"), 1..6),
                                    named in proptest::option::of(".*"), failed: bool) {
        let missing: Vec<Missing> = list.into_iter().map(|(hall, part, why, reason)| Missing {
            hall: hall.as_str().into(), part: part.into(),
            why: match why { 0 => Why::Late, 1 => Why::CutOff, 2 => Why::Refused, _ => Why::Failed(reason.into()) },
        }).collect();
        let cause = named.map_or(Cause::TooFew, |n| Cause::Named(n.into()));
        let told = if failed { Told::Failed(cause, missing) } else { Told::Part(missing) };
        prop_assert_eq!(parse(&told.text()), Some(told));
    }

    #[test]
    fn noise_is_no_wording(text in "(whole|part|failed)?( missing=| cause=)?[a-z%/:,()0-9]{0,30}") {
        if let Some(told) = parse(&text) {
            prop_assert_eq!(told.text(), text);
        }
    }
}

#[test]
fn part_without_a_missing_part_is_not_read() {
    for text in [
        "part",
        "part missing=",
        "part missing=a/b",
        "whole missing=a/b:late",
        "whole ",
        "failed",
        "part missing=%41/b:late",
    ] {
        assert_eq!(parse(text), None, "{text}");
    }
}
