//! Schedules are determined by their seeds, stay within their bounds, and can be reduced.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::match_bool, reason = "still to be rewritten: docs/ROADMAP.md")]
use std::time::Duration;
use test_cluster::schedule::{
    Fault, FaultKind, FaultTargets, Schedule, ADDITIONAL_FAULTS, COMMON_FAULTS, MAX_FAULTS,
};

const SPAN: Duration = Duration::from_secs(10);

fn fault_targets() -> FaultTargets {
    let names = |what: &str, count: usize| (0..count).map(|n| format!("{what}-{n}")).collect();
    FaultTargets { gateways: names("front", 5), backends: names("box", 8), zones: names("hall", 2) }
}

fn kinds() -> Vec<FaultKind> {
    COMMON_FAULTS.into_iter().chain(ADDITIONAL_FAULTS).collect()
}

#[test]
fn seed_determines_schedule_and_all_faults_end() {
    for seed in 0..200 {
        let draw = || Schedule::draw(seed, SPAN, &fault_targets(), &kinds(), 24);
        let schedule = draw();
        assert_eq!(schedule, draw(), "seed {seed}");
        assert!(schedule.faults.iter().all(|(_, i)| i.start + i.duration < SPAN), "{schedule}");
        let steps = schedule.steps();
        assert_eq!(steps.len(), 2 * schedule.faults.len());
        assert!(steps.windows(2).all(|w| (w[0].0, w[0].1) <= (w[1].0, w[1].1)), "{schedule}");
        // Faults with a common target do not overlap: no gateway is both killed and stalled.
        let mut open: Vec<&Fault> = vec![];
        for (_, begins, scheduled) in steps {
            let gateway = |f: &Fault| match f {
                Fault::Stall { gateway } | Fault::Kill { gateway, .. } => Some(gateway.clone()),
                _ => None,
            };
            match begins {
                true => {
                    let both =
                        open.iter().any(|o| gateway(o).is_some() && gateway(o) == gateway(&scheduled.fault));
                    assert!(!both, "{schedule}");
                    open.push(&scheduled.fault);
                }
                false => open.retain(|o| **o != scheduled.fault),
            }
        }
    }
    let draw = |seed| Schedule::draw(seed, SPAN, &fault_targets(), &kinds(), 24).faults;
    assert_ne!(draw(1), draw(2));
    assert!(
        Schedule::draw(1, Duration::from_secs(1000), &fault_targets(), &kinds(), 1000).faults.len()
            <= MAX_FAULTS
    );
}

#[test]
fn schedule_covers_all_common_fault_kinds() {
    for seed in 0..100 {
        let schedule = Schedule::draw(seed, SPAN, &fault_targets(), &COMMON_FAULTS, COMMON_FAULTS.len());
        let text = schedule.to_string();
        let all = ["CutBoth", "Stall", "Kill", "Drain", " Cut "];
        assert!(all.iter().all(|k| text.contains(k)), "{text}");
    }
}

#[test]
fn failing_schedule_shrinks_to_faults_that_make_it_fail() {
    let schedule = Schedule::draw(4, SPAN, &fault_targets(), &kinds(), 16);
    let has_fault =
        |s: &Schedule, what: &str| s.faults.iter().any(|(_, i)| format!("{:?}", i.fault).starts_with(what));
    let fails = |s: &Schedule| has_fault(s, "Stall") && has_fault(s, "Drain");
    assert!(fails(&schedule), "{schedule}");
    let smallest = schedule.clone().shrink(fails);
    assert_eq!(smallest.faults.len(), 2, "{smallest}");
    // The remaining faults keep their numbers, so that they can be named.
    let left: Vec<usize> =
        schedule.faults.iter().map(|i| i.0).filter(|n| smallest.faults.iter().all(|i| i.0 != *n)).collect();
    assert_eq!(schedule.without(&left), smallest);
}
