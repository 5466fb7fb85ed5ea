//! Schedules come from their seeds, keep to their bounds, and can be made smaller.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::match_bool, reason = "not revised yet: docs/ROADMAP.md")]
use std::time::Duration;
use test_cluster::schedule::{Fault, Kind, Parties, Schedule, MORE, MOST, USUAL};

const SPAN: Duration = Duration::from_secs(10);

fn parties() -> Parties {
    let names = |what: &str, count: usize| (0..count).map(|n| format!("{what}-{n}")).collect();
    Parties { fronts: names("front", 5), boxes: names("box", 8), halls: names("hall", 2) }
}

fn kinds() -> Vec<Kind> {
    USUAL.into_iter().chain(MORE).collect()
}

#[test]
fn the_same_seed_draws_the_same_and_all_is_well_at_the_end() {
    for seed in 0..200 {
        let draw = || Schedule::draw(seed, SPAN, &parties(), &kinds(), 24);
        let schedule = draw();
        assert_eq!(schedule, draw(), "seed {seed}");
        assert!(schedule.items.iter().all(|(_, i)| i.at + i.lasts < SPAN), "{schedule}");
        let steps = schedule.steps();
        assert_eq!(steps.len(), 2 * schedule.items.len());
        assert!(steps.windows(2).all(|w| (w[0].0, w[0].1) <= (w[1].0, w[1].1)), "{schedule}");
        // None strikes what another strikes at the same time: no front is both killed and stalled.
        let mut open: Vec<&Fault> = vec![];
        for (_, begins, item) in steps {
            let front = |f: &Fault| match f {
                Fault::Stall { front } | Fault::Kill { front, .. } => Some(front.clone()),
                _ => None,
            };
            match begins {
                true => {
                    let both = open.iter().any(|o| front(o).is_some() && front(o) == front(&item.fault));
                    assert!(!both, "{schedule}");
                    open.push(&item.fault);
                }
                false => open.retain(|o| **o != item.fault),
            }
        }
    }
    let draw = |seed| Schedule::draw(seed, SPAN, &parties(), &kinds(), 24).items;
    assert_ne!(draw(1), draw(2));
    assert!(Schedule::draw(1, Duration::from_secs(1000), &parties(), &kinds(), 1000).items.len() <= MOST);
}

#[test]
fn the_usual_kinds_are_all_there() {
    for seed in 0..100 {
        let schedule = Schedule::draw(seed, SPAN, &parties(), &USUAL, USUAL.len());
        let text = schedule.to_string();
        let all = ["CutBoth", "Stall", "Kill", "Drain", " Cut "];
        assert!(all.iter().all(|k| text.contains(k)), "{text}");
    }
}

#[test]
fn a_failing_schedule_shrinks_to_what_makes_it_fail() {
    let schedule = Schedule::draw(4, SPAN, &parties(), &kinds(), 16);
    let has =
        |s: &Schedule, what: &str| s.items.iter().any(|(_, i)| format!("{:?}", i.fault).starts_with(what));
    let fails = |s: &Schedule| has(s, "Stall") && has(s, "Drain");
    assert!(fails(&schedule), "{schedule}");
    let small = schedule.clone().shrink(fails);
    assert_eq!(small.items.len(), 2, "{small}");
    // What is left keeps its number, so that it can be named.
    let left: Vec<usize> =
        schedule.items.iter().map(|i| i.0).filter(|n| small.items.iter().all(|i| i.0 != *n)).collect();
    assert_eq!(schedule.without(&left), small);
}
