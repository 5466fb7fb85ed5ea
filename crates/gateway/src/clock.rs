//! The program's one clock: microseconds that begin at Unix time and run on with the monotonic clock. It tells real spans;
//! what time of day it is may be off, for the wall clock may be wrong at the start or stepped later.
use scheduler::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock, as of the start.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: i64,
    start: Instant,
}

impl Clock {
    /// Reads the system's clocks once; from then on only the steady one counts.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as i64, start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        Micros(self.unix + self.start.elapsed().as_micros() as i64)
    }

    /// When a point in time comes.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at.0 - self.unix).max(0) as u64)
    }
}
