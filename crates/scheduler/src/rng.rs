//! The scheduler's random number generator.
use rand::{rngs::SmallRng, SeedableRng};

/// A random number generator that depends on its seed alone, so that the same events lead to the same
/// actions.
pub(crate) struct SeededRng(pub SmallRng);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(SmallRng::seed_from_u64(seed))
    }
}

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}
