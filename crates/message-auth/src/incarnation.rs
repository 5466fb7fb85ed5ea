//! The incarnation of a process: a number that grows with each of its starts.
use std::time::Duration;

/// The lower bits are free for incarnations above the one that the clock gives.
const CLOCK_SHIFT: u32 = 20;

/// The incarnation of a process that starts at the Unix time `unix_time`: the time in milliseconds in its upper bits, and in
/// any case above `previous`, the incarnation before it (0: not known).
///
/// `previous` guards against a clock that was set back between two starts: hosts with a disk store the last incarnation.
pub fn new_incarnation(unix_time: Duration, previous: u64) -> u64 {
    let millis = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX).min(u64::MAX >> CLOCK_SHIFT);
    (millis << CLOCK_SHIFT).max(previous.saturating_add(1))
}
