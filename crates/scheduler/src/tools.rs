//! Arithmetic of time and the source of random numbers: nothing is decided here.
use crate::interface::Micros;
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::VecDeque;

/// Random numbers, from a seed.
pub(crate) struct Random(pub SmallRng);

impl Random {
    pub fn seeded(seed: u64) -> Random {
        Random(SmallRng::seed_from_u64(seed))
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::seeded(0)
    }
}

/// The time between two points, in microseconds.
pub(crate) fn span(from: Micros, to: Micros) -> f64 {
    (to.0 - from.0) as f64
}

/// A point in time, so many microseconds later.
pub(crate) fn later(at: Micros, by: f64) -> Micros {
    Micros(at.0.saturating_add(by as i64))
}

/// A sum that fades by a factor of e over a time, and as of when.
#[derive(Default)]
pub(crate) struct Fading(pub f64, pub Micros);

impl Fading {
    /// What is left of it.
    pub fn at(&self, now: Micros, over: f64) -> f64 {
        self.0 * (-span(self.1, now).max(0.0) / over.max(1.0)).exp()
    }

    /// Adds to it.
    pub fn add(&mut self, now: Micros, over: f64, more: f64) {
        *self = Fading(self.at(now, over) + more, now);
    }
}

/// Drops what is not after `until`.
pub(crate) fn forget(log: &mut VecDeque<Micros>, until: Micros) {
    while log.front().is_some_and(|at| *at <= until) {
        log.pop_front();
    }
}
