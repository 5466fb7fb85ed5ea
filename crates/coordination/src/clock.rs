//! The hosts' clocks: a steady one with an origin of its own, and Unix time for operators.
use cluster_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins a second ago, so that spans reach back before the start.
    pub fn start() -> Clock {
        let now = Instant::now();
        Clock(now.checked_sub(Duration::from_secs(1)).unwrap_or(now))
    }

    /// The time.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// When that is.
    pub fn instant(&self, at: Time) -> Instant {
        self.0 + Duration::from_micros(at.0.min(u64::MAX / 4))
    }
}

/// Unix time.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
