//! The process's clock: microseconds that begin at Unix time and then follow the monotonic clock. Spans are exact; the time of day may
//! be off, since the wall clock may be wrong at the start or stepped later.
use scheduler::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start, in microseconds.
    unix_us: i64,
    start: Instant,
}

impl Clock {
    /// Reads the system's clocks once; later times follow the monotonic clock only.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as i64, start: Instant::now() }
    }

    /// The present time, in microseconds.
    pub fn now(&self) -> Micros {
        Micros(self.unix_us + self.start.elapsed().as_micros() as i64)
    }

    /// A point in time as the monotonic clock's instant; times before the start become the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at.0 - self.unix_us).max(0) as u64)
    }
}
