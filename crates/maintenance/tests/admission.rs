//! Admission of batches: bounds and the order of requests.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::Index;
use maintenance::{BackendOutcome, Bound, Command, Effect, Rejection, Rules};
use rstest::rstest;
use std::collections::BTreeMap;
use support::*;

const BACKENDS: &str = "a1 a2 a3 b1 b2 b3 c1 c2 c3";

/// Submits `requests` in order; each lists its backends, and ends in `+` if they are to be granted all at once. `failed`
/// and `warming_up` list the backends in these conditions, `granted` the backends that are granted in the end.
#[rstest]
#[case::total(rules(2, 2, 2), "", "", &["a1 b1 c1"], "a1 b1")]
#[case::zone(rules(4, 1, 4), "", "", &["a1 a2 b1"], "a1 b1")]
#[case::volume(rules(4, 4, 1), "", "", &["a1 b1", "c2"], "a1 c2")]
#[case::reservation(rules(4, 4, 4), "", "", &["a2 b2 c2"], "a2")]
#[case::nothing_before_rules(rules(0, 0, 0), "", "", &["a1"], "")]
#[case::failed_backend_counts(rules(1, 1, 1), "c1", "", &["a1"], "")]
#[case::failed_backend_may_be_repaired(rules(1, 1, 1), "c1", "", &["c1"], "c1")]
#[case::repairs_are_bounded(rules(1, 1, 1), "c1 c2 b1", "", &["b1", "c1", "c2"], "b1")]
#[case::backend_that_warms_up_counts(rules(2, 1, 1), "", "a3", &["a1", "b3"], "b3")]
#[case::failed_backend_of_volume_counts(rules(4, 4, 4), "b2", "", &["a2", "a3"], "a3")]
// c2 would leave volume w without its reservation once a2 is granted, which has waited longer.
#[case::waits_for_older_by_reservation(rules(3, 1, 3), "", "", &["a1", "a2", "c2", "b3"], "a1 b3")]
// a1 is out and a2 waits for it. b3 does not use anything that a2 waits for, and is granted.
#[case::passes_older_without_competition(rules(2, 1, 2), "", "", &["a1", "a2", "b3"], "a1 b3")]
// Two wait in one zone: only one of them could be granted in any case, and b3 and c3 are granted beside it.
#[case::two_wait_in_one_zone(rules(3, 1, 3), "", "", &["a1", "a2", "a3", "b3", "c3"], "a1 b3 c3")]
// b1 warms up, and b2 and b3 are granted together after that. Beside them there is capacity for one more, not for two.
#[case::waits_for_older_batch(rules(3, 2, 3), "", "b1", &["b2 b3 +", "a1 a3 +"], "")]
#[case::passes_older_batch(rules(3, 2, 3), "", "b1", &["b2 b3 +", "a3"], "a3")]
#[case::waits_for_older_in_zone(rules(2, 2, 2), "", "", &["a1", "b1 b3 +", "b2"], "a1")]
// A batch that can't be granted because of a failed backend delays no other.
#[case::passes_older_that_waits_for_failed(rules(2, 1, 2), "b3", "", &["b1", "a1"], "a1")]
#[case::passes_older_that_is_never_granted(rules(2, 1, 2), "", "", &["a1 a2 +", "a3"], "a3")]
#[case::waits_for_older_of_same_backend(rules(2, 2, 2), "", "", &["a1", "a1 b3 +", "b3"], "a1")]
fn grants_in_order_within_bounds(
    #[case] rules: Rules,
    #[case] failed: &str,
    #[case] warming_up: &str,
    #[case] requests: &[&str],
    #[case] granted: &str,
) {
    let mut view = view(BACKENDS, &[("v", 100, "a1 b1 c1"), ("w", 200, "a2 b2 c2")]);
    for (backend, facts) in &mut view.backends {
        facts.has_failed = backends(failed).contains(backend);
        facts.is_warming_up = backends(warming_up).contains(backend);
    }
    let mut harness = Harness::new(rules, view, "f1 f2");
    for (number, names) in requests.iter().enumerate() {
        let single = request(&format!("w{number}"), names.trim_end_matches('+'));
        let command = if names.ends_with('+') { all_at_once(single) } else { single };
        harness.run("f1", &command);
    }
    harness.run_leader();
    assert!(harness.are_granted(granted), "{:?} and not {granted}", harness.granted());
}

/// A proposer with an outdated state may violate order and bounds, so that each proposal is checked again.
#[test]
fn rejects_grant_that_breaks_order_or_bounds() {
    let mut harness = Harness::new(rules(2, 1, 2), view(BACKENDS, &[("v", 200, "a1 b1 c1")]), "f1");
    for name in ["a1", "a2", "a3"] {
        harness.run("f1", &request(&format!("w-{name}"), name));
    }
    let grant = |name: &str, names: &str| Command::Grant { name: name.into(), backends: backends(names) };
    let mut rejection_of = |name: &str, names: &str| match harness.run("deposed", &grant(name, names)).pop() {
        Some(Effect::Rejected { reason, .. }) => Some(reason),
        _ => None,
    };
    assert_eq!(rejection_of("w-a2", "a2"), Some(Rejection::QueuedBehind("w-a1".into())));
    assert_eq!(rejection_of("w-a1", "a1 a2"), Some(Rejection::Superseded));
    assert_eq!(rejection_of("other", "a1"), Some(Rejection::NotFound));
    assert_eq!(rejection_of("w-a1", "a1"), None);
    assert_eq!(rejection_of("w-a1", "a1"), Some(Rejection::Superseded));
    assert_eq!(rejection_of("w-a2", "a2"), Some(Rejection::BoundExceeded(Bound::Zone("a".into()))));
    harness.now_ms += 60_000;
    harness.run("f1", &request("w-c2", "c2"));
    let effects_of_stale_grant = harness.run("deposed", &grant("w-c2", "c2"));
    assert!(
        matches!(
            &effects_of_stale_grant[..],
            [Effect::Rejected { reason: Rejection::StaleMeasurements, .. }]
        ),
        "{effects_of_stale_grant:?}"
    );
}

/// An observation from before the return of a backend is ignored: the backend counts as warming up until it is measured
/// again.
#[test]
fn ignores_observation_from_before_change() {
    let mut harness = Harness::new(rules(1, 1, 1), view(BACKENDS, &[]), "f1");
    harness.run("f1", &request("w", "a1"));
    harness.run_leader();
    harness.drain();
    let min_applied = harness.state.applied();
    harness.run("f1", &finish("w"));
    let backends = harness.view.backends.clone();
    let late_observation =
        Command::Observe { min_applied, is_complete: true, backends, volumes: BTreeMap::new() };
    harness.run("deposed", &late_observation);
    let step = |harness: &Harness| -> Index { harness.state.recoveries().next().unwrap().1.step() };
    for stage in 0..2 {
        let after = step(&harness);
        let quotas = BTreeMap::new();
        harness.run("leader", &Command::SetStage { backend: backend("a1"), after, stage, quotas });
    }
    let complete = Command::CompleteRecovery { backend: backend("a1"), step: step(&harness) };
    let rejected = harness.run("leader", &complete);
    assert!(
        matches!(&rejected[..], [Effect::Rejected { reason: Rejection::NotRecovered, .. }]),
        "{rejected:?}"
    );
    harness.run("f1", &request("next", "b1"));
    harness.recover();
    assert!(harness.are_granted("b1"));
}

/// While a backend is out, its measured capacity for a volume may be 0. It still counts among the backends that store the
/// volume.
#[test]
fn counts_granted_backend_among_those_of_its_volume() {
    let mut harness = Harness::new(rules(3, 3, 1), view(BACKENDS, &[("v", 100, "a1 b1 c1")]), "f1");
    harness.run("f1", &request("w", "a1 b1"));
    harness.run_leader();
    assert!(harness.are_granted("a1"));
    for volume in harness.view.volumes.values_mut() {
        volume.backends.insert(backend("a1"), 0);
    }
    harness.now_ms += 9000;
    harness.run_leader();
    assert!(harness.are_granted("a1"));
    let status = harness.state.status("w").unwrap();
    assert_eq!(status.waiting_reason, Some(Rejection::BoundExceeded(Bound::Volume("v".into()))));
    assert_eq!(status.request.backends[&backend("b1")], BackendOutcome::Waiting);
}
