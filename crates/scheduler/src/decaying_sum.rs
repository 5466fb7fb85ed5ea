//! A sum that decays exponentially with time.
use crate::interface::Micros;
use crate::time::span_us;

/// A sum that decays by a factor of e per time constant.
#[derive(Default)]
pub(crate) struct DecayingSum {
    /// The sum at `updated_at`.
    pub sum: f64,
    /// When an amount was last added.
    pub updated_at: Micros,
}

impl DecayingSum {
    /// The decayed sum at `now`, for a time constant in microseconds.
    pub fn value_at(&self, now: Micros, time_constant_us: f64) -> f64 {
        self.sum * (-span_us(self.updated_at, now).max(0.0) / time_constant_us.max(1.0)).exp()
    }

    /// Adds an amount to the decayed sum.
    pub fn add(&mut self, now: Micros, time_constant_us: f64, amount: f64) {
        *self = DecayingSum { sum: self.value_at(now, time_constant_us) + amount, updated_at: now };
    }
}
