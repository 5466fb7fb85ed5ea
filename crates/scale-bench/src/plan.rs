//! What is common to all measurements.
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Sizes, plays, seed and bounds of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The sizes.
    pub sizes: Vec<u64>,
    /// How often each size is played.
    pub plays: u32,
    /// The first play's seed; each play after it takes the next.
    pub seed: u64,
    /// How long one play may take.
    pub limit: Duration,
    /// This tool's own program, which weighs memory in processes of its own; none leaves memory out.
    pub program: Option<PathBuf>,
}

impl Plan {
    /// Each size with each of its plays and the play's seed.
    pub fn plays(&self) -> impl Iterator<Item = (u64, u32, u64)> + '_ {
        let each = move |size: &u64| {
            let size = *size;
            (0..self.plays).map(move |play| (size, play, self.seed.wrapping_add(u64::from(play))))
        };
        self.sizes.iter().flat_map(each)
    }

    /// When a play that begins now must end.
    pub fn bound(&self) -> Bound {
        Bound(Instant::now() + self.limit)
    }
}

/// When a play must end.
#[derive(Clone, Copy, Debug)]
pub struct Bound(Instant);

impl Bound {
    /// Whether that time has come.
    pub fn passed(self) -> bool {
        Instant::now() >= self.0
    }

    /// How long it is until then.
    pub fn left(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }
}
