//! When chunk servers have started, by this process's own clock, which no step of the wall clock moves.
//!
//! Discovery tells starts in Unix time. A wall clock that is ahead, here or where the server runs, would make a server that has
//! just started pass for warm. So a start counts from when this process was first notified of it, unless it lies further back
//! than any step of the wall clock can feign.
use scheduler::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock may be stepped by an hour, either way.
const LARGEST_STEP: i64 = 3_600_000_000;

/// A start as discovery told it, and when it counts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Unix time, as told.
    told: Micros,
    /// By this process's own clock.
    pub at: Micros,
}

impl Start {
    /// A start of which this process has just been notified, while its own clock shows `now` and the wall clock `wall`.
    pub fn notified(told: Micros, now: Micros, wall: Micros) -> Start {
        let surely_ago = (wall.0.saturating_sub(told.0) - LARGEST_STEP).max(0);
        Start { told, at: Micros(now.0.saturating_sub(surely_ago)) }
    }

    /// Whether discovery told another start.
    pub fn differs(before: Option<Start>, told: Option<Micros>) -> bool {
        told.is_some() && before.map(|start| start.told) != told
    }
}

/// The wall clock.
pub fn wall_clock() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(i64::try_from(unix.as_micros()).unwrap_or(i64::MAX))
}
