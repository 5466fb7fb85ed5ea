//! Shared test helpers: small plans and assertions on the figures of runs.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use scale_bench::{Plan, Run};
use std::path::PathBuf;
use std::time::Duration;

pub fn tool_path() -> PathBuf {
    env!("CARGO_BIN_EXE_scale-bench").into()
}

pub fn plan(sizes: &[u64], seed: u64) -> Plan {
    let (sizes, run_limit, program) = (sizes.to_vec(), Duration::from_secs(10), Some(tool_path()));
    Plan { sizes, runs: 1, seed, run_limit, program }
}

/// Asserts that every run is complete and has each of these figures above zero.
pub fn assert_positive_figures(runs: &[Run], figures: &[&str]) {
    assert!(!runs.is_empty());
    for run in runs {
        assert!(run.is_complete, "{run:?}");
        for figure in figures {
            assert!(run.figure(figure).is_some_and(|value| value > 0.0), "{figure} in {run:?}");
        }
    }
}

/// Asserts that both have the same runs, with equal values of each of these figures.
pub fn assert_same_figures(one: &[Run], other: &[Run], figures: &[&str]) {
    assert_eq!(one.len(), other.len());
    for (one, other) in one.iter().zip(other) {
        assert_eq!((one.size, &one.variant, one.seed), (other.size, &other.variant, other.seed));
        for figure in figures {
            assert!(one.figure(figure).is_some(), "{figure}");
            assert_eq!(one.figure(figure), other.figure(figure), "{figure}");
        }
    }
}
