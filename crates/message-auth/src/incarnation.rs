//! The incarnation of a process: a number that increases with each restart.
use std::time::Duration;

/// The timestamp is shifted by this many bits; the lower bits leave room for incarnations above the timestamp.
const CLOCK_SHIFT: u32 = 20;

/// The incarnation of a process that starts at the Unix time `unix_time`: the time in milliseconds in its upper bits, but
/// always greater than `previous`, the last incarnation of this process (0 if unknown).
///
/// `previous` guards against a clock that is set back between two starts; hosts with a disk persist the last incarnation.
pub fn new_incarnation(unix_time: Duration, previous: u64) -> u64 {
    let millis = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX).min(u64::MAX >> CLOCK_SHIFT);
    (millis << CLOCK_SHIFT).max(previous.saturating_add(1))
}
