//! Shared by the tests: small plans, and what plays must agree in.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use scale_bench::{Plan, Play};
use std::path::PathBuf;
use std::time::Duration;

pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_scale-bench").into()
}

pub fn plan(sizes: &[u64], seed: u64) -> Plan {
    let (sizes, limit, program) = (sizes.to_vec(), Duration::from_secs(10), Some(program()));
    Plan { sizes, plays: 1, seed, limit, program }
}

/// Every play is whole, and each of these figures is above zero in it.
pub fn above_zero(plays: &[Play], figures: &[&str]) {
    assert!(!plays.is_empty());
    for play in plays {
        assert!(play.whole, "{play:?}");
        for figure in figures {
            assert!(play.figure(figure).is_some_and(|value| value > 0.0), "{figure} in {play:?}");
        }
    }
}

/// Both have the same plays, with the same value of each of these figures.
pub fn same(one: &[Play], other: &[Play], figures: &[&str]) {
    assert_eq!(one.len(), other.len());
    for (one, other) in one.iter().zip(other) {
        assert_eq!((one.size, &one.variant, one.seed), (other.size, &other.variant, other.seed));
        for figure in figures {
            assert!(one.figure(figure).is_some(), "{figure}");
            assert_eq!(one.figure(figure), other.figure(figure), "{figure}");
        }
    }
}
