//! Start times of backends by this process's monotonic clock.
//!
//! Discovery reports starts in Unix time. A wall clock that is ahead, here or at the backend, would let a backend that has just started
//! skip slow start. So a start counts from when this process was first notified of it, unless it is longer ago than the largest
//! tolerated step of the wall clock.
use scheduler::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

/// The largest step of the wall clock that is tolerated, in microseconds: one hour, either way.
const LARGEST_STEP_US: i64 = 3_600_000_000;

/// A backend's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// As discovery reported it, in Unix time.
    reported: Micros,
    /// When slow start counts from, by this process's clock.
    pub at: Micros,
}

impl Start {
    /// A start that was just reported, while this process's clock shows `now` and the wall clock `wall`.
    pub fn notified(reported: Micros, now: Micros, wall: Micros) -> Start {
        let certain_age_us = (wall.0.saturating_sub(reported.0) - LARGEST_STEP_US).max(0);
        Start { reported, at: Micros(now.0.saturating_sub(certain_age_us)) }
    }

    /// Whether discovery now reports another start than before.
    pub fn differs(before: Option<Start>, reported: Option<Micros>) -> bool {
        reported.is_some() && before.map(|start| start.reported) != reported
    }
}

/// The wall clock: Unix time.
pub fn wall_clock() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(i64::try_from(unix.as_micros()).unwrap_or(i64::MAX))
}
