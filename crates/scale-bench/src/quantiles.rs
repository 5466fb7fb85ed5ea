//! Quantiles of many values.
use crate::{Error, Play};
use hdrhistogram::Histogram;

/// Values are kept in thousandths of their unit.
const PARTS: f64 = 1e3;
/// The largest value, in thousandths: an hour of microseconds.
const MOST: u64 = 3_600_000_000_000;

/// Many values of one figure.
pub struct Quantiles(Histogram<u64>);

impl Quantiles {
    /// None yet.
    pub fn new() -> Result<Quantiles, Error> {
        Histogram::new_with_bounds(1, MOST, 3).map(Quantiles).map_err(|e| Error::part("hdrhistogram", e))
    }

    /// Takes in a value.
    pub fn record(&mut self, value: f64) {
        self.0.saturating_record((value * PARTS).max(0.0) as u64);
    }

    /// Takes in all of the other's values.
    pub fn add(&mut self, other: &Quantiles) -> Result<(), Error> {
        self.0.add(&other.0).map_err(|e| Error::part("hdrhistogram", e))
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The value below which that share lies.
    pub fn at(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / PARTS
    }

    /// Puts mean, quantiles and extremes among a play's figures, as `NAME_p50_UNIT` and so on.
    pub fn put(&self, name: &str, unit: &str, play: &mut Play) {
        if self.0.is_empty() {
            return;
        }
        play.put(&format!("{name}_mean_{unit}"), self.0.mean() / PARTS);
        for (what, share) in [("min", 0.0), ("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
            play.put(&format!("{name}_{what}_{unit}"), self.at(share));
        }
    }
}
