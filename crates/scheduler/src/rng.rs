//! The scheduler's source of random numbers.
use rand::{rngs::SmallRng, SeedableRng};

/// Random numbers that depend on a seed alone, so that the same events lead to the same actions.
pub(crate) struct SeededRng(pub SmallRng);

impl SeededRng {
    /// The sequence of a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(SmallRng::seed_from_u64(seed))
    }
}

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}
