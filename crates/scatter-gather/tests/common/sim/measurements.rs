//! The measurements of a simulation run.
use std::time::Duration;

/// Measurements of the gathers that started while the zone failed.
#[derive(Debug, Default)]
pub struct Measurements {
    pub waits_us: Vec<u64>,
    pub in_time: usize,
    pub failed: usize,
    pub complete: usize,
    /// The time from the zone's recovery until every gateway permanently considered it healthy.
    pub found_healthy_after: Duration,
    pub late_responses: u64,
}

impl Measurements {
    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.waits_us.len().max(1) as f64
    }

    pub fn median_ms(&self) -> f64 {
        let mut waits = self.waits_us.clone();
        waits.sort();
        waits.get(waits.len() / 2).map_or(0.0, |wait| *wait as f64 / 1000.0)
    }
}
