//! Quantiles of many values.
use crate::{Error, Run};
use hdrhistogram::Histogram;

/// Values are stored in thousandths of their unit.
const SCALE: f64 = 1e3;
/// The largest value, in thousandths: an hour of microseconds.
const MAX_SCALED: u64 = 3_600_000_000_000;

/// Many values of one figure.
pub struct Quantiles(Histogram<u64>);

impl Quantiles {
    /// Creates an empty collection.
    pub fn new() -> Result<Quantiles, Error> {
        Histogram::new_with_bounds(1, MAX_SCALED, 3)
            .map(Quantiles)
            .map_err(|e| Error::component("hdrhistogram", e))
    }

    /// Adds a value.
    pub fn record(&mut self, value: f64) {
        self.0.saturating_record((value * SCALE).max(0.0) as u64);
    }

    /// Adds all values of another collection.
    pub fn add(&mut self, other: &Quantiles) -> Result<(), Error> {
        self.0.add(&other.0).map_err(|e| Error::component("hdrhistogram", e))
    }

    /// The number of values.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The value at the given quantile.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / SCALE
    }

    /// Records the mean, quantiles and extremes in a run, as `NAME_p50_UNIT` and so on.
    pub fn record_in(&self, name: &str, unit: &str, run: &mut Run) {
        if self.0.is_empty() {
            return;
        }
        run.record(&format!("{name}_mean_{unit}"), self.0.mean() / SCALE);
        for (suffix, quantile) in [("min", 0.0), ("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
            run.record(&format!("{name}_{suffix}_{unit}"), self.quantile(quantile));
        }
    }
}
