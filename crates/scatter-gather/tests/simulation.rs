//! Gathers of eight gateways while a zone fails for ten seconds, in simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::sim::{run, Fault, Knowledge, Measurements};
use rstest::rstest;
use std::time::Duration;

const SEEDS: u64 = 3;

fn run_seeds(fault: Fault, knowledge: Knowledge, quorum: &str) -> Vec<Measurements> {
    (0..SEEDS).map(|seed| run(seed, fault, knowledge, quorum)).collect()
}

fn share_in_time(runs: &[Measurements]) -> f64 {
    runs.iter().map(Measurements::share_in_time).sum::<f64>() / runs.len() as f64
}

#[rstest]
#[case(Fault::Unreachable, 0.5, 4)]
#[case(Fault::Slow, 0.5, 5)]
#[case(Fault::Flapping, 0.03, 20)]
fn health_tracking_keeps_answers_in_time_and_detects_recovery(
    #[case] fault: Fault,
    #[case] gain: f64,
    #[case] recovery_s: u64,
) {
    let quorum = "{ at_least = 3 }";
    let nothing = run_seeds(fault, Knowledge::Nothing, quorum);
    let own = run_seeds(fault, Knowledge::OwnMeasurements, quorum);
    let shared = run_seeds(fault, Knowledge::Shared, quorum);
    let (without_tracking, with_own, with_shared) =
        (share_in_time(&nothing), share_in_time(&own), share_in_time(&shared));
    assert!(
        with_shared >= with_own && with_own >= without_tracking + gain,
        "share in time: {without_tracking} untracked, {with_own} own, {with_shared} shared"
    );
    for (number, measured) in own.iter().chain(&shared).enumerate() {
        let found_healthy_after = measured.found_healthy_after;
        assert!(
            found_healthy_after <= Duration::from_secs(recovery_s),
            "run {number}: {found_healthy_after:?}"
        );
        assert_eq!(measured.failed, 0, "run {number}");
    }
}

#[rstest]
#[case("{ at_least = 3 }")]
#[case("\"all\"")]
fn ignores_false_reports_about_healthy_zone(#[case] quorum: &str) {
    for seed in 0..SEEDS {
        let measured = run(seed, Fault::FalseReports, Knowledge::Shared, quorum);
        let expected = (1.0, 0, measured.waits_us.len());
        assert_eq!((measured.share_in_time(), measured.failed, measured.complete), expected, "seed {seed}");
    }
}

#[test]
fn tracking_needed_flapping_zone_loses_no_answer() {
    for seed in 0..SEEDS {
        let without = run(seed, Fault::Flapping, Knowledge::Nothing, "\"all\"");
        let with = run(seed, Fault::Flapping, Knowledge::Shared, "\"all\"");
        let answered = |measured: &Measurements| measured.waits_us.len() - measured.failed;
        let is_faster = with.median_ms() <= without.median_ms();
        assert!(answered(&with) >= answered(&without) && is_faster, "seed {seed}");
    }
}
