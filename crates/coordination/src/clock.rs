//! The clocks of the hosts: a monotonic clock with its own origin, and Unix time.
use cluster_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far the origin is before the start, so that a time shortly before the start can be represented.
const ORIGIN_BEFORE_START: Duration = Duration::from_secs(1);

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is one second ago.
    pub(crate) fn start() -> Clock {
        let now = Instant::now();
        Clock { origin: now.checked_sub(ORIGIN_BEFORE_START).unwrap_or(now) }
    }

    /// The current time.
    pub(crate) fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a time to an instant. The offset is capped so that the addition cannot overflow.
    pub(crate) fn instant(&self, at: Time) -> Instant {
        self.origin + Duration::from_micros(at.0.min(u64::MAX / 4))
    }
}

/// The time since the Unix epoch; zero if the system clock is set before it.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The Unix time in milliseconds.
pub(crate) fn unix_time_ms() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}
