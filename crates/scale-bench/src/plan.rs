//! Sizes, runs and limits that all measurements share.
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Sizes, runs, seed and limits of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The sizes.
    pub sizes: Vec<u64>,
    /// Number of runs of each size.
    pub runs: u32,
    /// The first run's seed; each run after it takes the next.
    pub seed: u64,
    /// Real-time limit of a run.
    pub run_limit: Duration,
    /// This tool's own program, which measures memory in separate processes; without it, memory is not measured.
    pub program: Option<PathBuf>,
}

impl Plan {
    /// Each size with each of its runs and the run's seed.
    pub fn runs(&self) -> impl Iterator<Item = (u64, u32, u64)> + '_ {
        let runs_of_size = move |size: &u64| {
            let size = *size;
            (0..self.runs).map(move |run| (size, run, self.seed.wrapping_add(u64::from(run))))
        };
        self.sizes.iter().flat_map(runs_of_size)
    }

    /// The deadline of a run that begins now.
    pub fn deadline(&self) -> Deadline {
        Deadline(Instant::now() + self.run_limit)
    }
}

/// The end of a run's real-time limit.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// Whether the deadline has passed.
    pub fn has_passed(self) -> bool {
        Instant::now() >= self.0
    }

    /// The time left until the deadline.
    pub fn remaining(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }
}
