//! How long pauses between calls are.

/// The longest time until a change must be known that the service has published and that could be requested, in
/// microseconds.
pub const MAX_STALENESS_US: i64 = 6_000_000;
/// A watch that is silent for longer is broken, in microseconds: an idle one carries an empty line every 2 s, which
/// may be late.
pub const IDLE_TIMEOUT_US: i64 = 2_000_000 + 600_000;
/// Time that is left for the response to a call, in microseconds.
pub const MAX_RESPONSE_US: i64 = 1_300_000;
/// A call that has no response yet is hedged by a second one after this time, in microseconds.
///
/// The service handles calls one after the other: a second call beside one that only waits for its turn delays all
/// others. So this is as long as the staleness bound allows: it is shared by the longest pause, or a call rejected
/// late with the shortest pause after it, then a silent call, then the call that is served.
pub const HEDGE_DELAY_US: i64 = (MAX_STALENESS_US - MAX_RESPONSE_US - MIN_PAUSE_US) / 2;

/// The shortest pause.
pub(crate) const MIN_PAUSE_US: i64 = 100_000;
/// The least end of a window from which pauses are drawn.
const MIN_WINDOW_END_US: i64 = 200_000;
/// Mean distance between the first calls of a fleet's callers, as far as the staleness bound leaves room.
const MEAN_CALL_DISTANCE_US: i64 = 10_000;
/// The longest pause: a call after it may be lost, and its hedge is still served in time.
const MAX_PAUSE_US: i64 = MAX_STALENESS_US - HEDGE_DELAY_US - MAX_RESPONSE_US;
/// The longest pause after a silent watch, which took part of the staleness bound to notice.
const MAX_PAUSE_AFTER_SILENCE_US: i64 = MIN_WINDOW_END_US;
/// The hedge delay after a silent watch.
const HEDGE_DELAY_AFTER_SILENCE_US: i64 =
    MAX_STALENESS_US - IDLE_TIMEOUT_US - MAX_PAUSE_AFTER_SILENCE_US - MAX_RESPONSE_US;
/// Failures in a row after which the window no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// How a call failed, or a watch that was established ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The service doesn't accept connections: a call costs it nothing, and it may be back at any moment.
    Down,
    /// The service rejected the call, or closed the connection without a response: it has more calls than it can
    /// handle, or can't serve. A call now would only be rejected too.
    Overloaded,
    /// An established watch has ended: possibly this one, possibly all at once.
    Ended,
    /// An established watch has gone silent.
    Silent,
}

/// A window of time from which a pause is drawn evenly, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseWindow {
    /// The shortest pause.
    pub start_us: i64,
    /// The end of the window, which is not part of it.
    pub end_us: i64,
}

/// The windows from which pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// End of the window before the first failure.
    first_window_end_us: i64,
}

impl BackoffPolicy {
    /// The policy of a caller that is one of so many.
    pub fn for_callers(callers: u32) -> BackoffPolicy {
        let spread_us = MEAN_CALL_DISTANCE_US * i64::from(callers);
        BackoffPolicy { first_window_end_us: spread_us.clamp(MIN_WINDOW_END_US, MAX_PAUSE_US) }
    }

    /// The window of the pause after so many failures in a row, counted from the start of the call that failed or
    /// from the end of the watch.
    ///
    /// After [`Failure::Overloaded`] it begins in the middle of the longest one: the calls ahead take all the time
    /// for which the service lets calls wait, so there is no room sooner.
    pub fn pause_window(&self, failure: Failure, failures: u32) -> PauseWindow {
        let (start_us, end_us) = match failure {
            Failure::Overloaded => (MAX_PAUSE_US / 2, MAX_PAUSE_US),
            Failure::Silent if failures == 0 => (MIN_PAUSE_US, MAX_PAUSE_AFTER_SILENCE_US),
            _ => {
                let doubled_us = self.first_window_end_us << failures.min(MAX_DOUBLINGS);
                (MIN_PAUSE_US, doubled_us.min(MAX_PAUSE_US))
            }
        };
        PauseWindow { start_us, end_us }
    }

    /// How long a call may have no response before it is hedged, after such a failure, in microseconds.
    pub fn hedge_delay_us(&self, failure: Failure) -> i64 {
        match failure {
            Failure::Silent => HEDGE_DELAY_AFTER_SILENCE_US,
            _ => HEDGE_DELAY_US,
        }
    }
}
