//! The durations of pauses between calls.

/// The longest time, in microseconds, until a change must be known after the service has published it and can be
/// called.
pub const MAX_STALENESS_US: i64 = 6_000_000;
/// A watch that is silent for longer than this, in microseconds, is considered broken: an idle one carries an empty
/// line every 2 s as a heartbeat, which may be 0.6 s late.
pub const IDLE_TIMEOUT_US: i64 = 2_000_000 + 600_000;
/// Time reserved for the response to a call, in microseconds.
pub const MAX_RESPONSE_US: i64 = 1_300_000;
/// A call without a response is hedged by a second one after this time, in microseconds.
///
/// The service handles calls one after the other, so hedging a call that is merely queued delays all other callers.
/// The delay is therefore as long as the staleness bound allows. That bound has to cover the longest pause (or a
/// call rejected late and the shortest pause after it), then a call without a response, then the call that is served.
pub const HEDGE_DELAY_US: i64 = (MAX_STALENESS_US - MAX_RESPONSE_US - MIN_PAUSE_US) / 2;

/// The shortest pause.
pub(crate) const MIN_PAUSE_US: i64 = 100_000;
/// The smallest end of a window from which pauses are drawn.
const MIN_WINDOW_END_US: i64 = 200_000;
/// Mean interval between the first calls of a fleet's callers, as far as the staleness bound permits.
const MEAN_CALL_INTERVAL_US: i64 = 10_000;
/// The longest pause: even if the call after it is lost, the hedge is still served within the staleness bound.
const MAX_PAUSE_US: i64 = MAX_STALENESS_US - HEDGE_DELAY_US - MAX_RESPONSE_US;
/// The longest pause after a silent watch, whose detection has already used up part of the staleness bound.
const MAX_PAUSE_AFTER_SILENCE_US: i64 = MIN_WINDOW_END_US;
/// The hedge delay after a silent watch.
const HEDGE_DELAY_AFTER_SILENCE_US: i64 =
    MAX_STALENESS_US - IDLE_TIMEOUT_US - MAX_PAUSE_AFTER_SILENCE_US - MAX_RESPONSE_US;
/// Consecutive failures after which the window no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// How a call failed, or an established watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The service doesn't accept connections: calls cost it nothing, and it may recover at any moment.
    Down,
    /// The service rejected the call, or closed the connection without a response: it has more calls than it can
    /// handle, or is unable to serve. An immediate retry would be rejected too.
    Overloaded,
    /// An established watch has ended: this one only, or those of all callers at once.
    Ended,
    /// An established watch has gone silent.
    Silent,
}

/// A window from which a pause is drawn with uniform distribution, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseWindow {
    /// The shortest pause.
    pub start_us: i64,
    /// The end of the window, exclusive.
    pub end_us: i64,
}

/// The windows from which pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// The end of the window before the first failure.
    first_window_end_us: i64,
}

impl BackoffPolicy {
    /// The policy for each caller in a fleet of this size.
    pub fn for_callers(callers: u32) -> BackoffPolicy {
        let spread_us = MEAN_CALL_INTERVAL_US * i64::from(callers);
        BackoffPolicy { first_window_end_us: spread_us.clamp(MIN_WINDOW_END_US, MAX_PAUSE_US) }
    }

    /// The window of the pause after this number of consecutive failures. The pause counts from the start of the failed
    /// call or from the end of the watch.
    ///
    /// After [`Failure::Overloaded`] the window begins at half of the longest pause: the calls already queued take as
    /// long as the service lets a call wait, so an earlier call would be rejected.
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

    /// How long a call may be without a response before it is hedged, in microseconds, after this failure.
    pub fn hedge_delay_us(&self, failure: Failure) -> i64 {
        match failure {
            Failure::Silent => HEDGE_DELAY_AFTER_SILENCE_US,
            _ => HEDGE_DELAY_US,
        }
    }
}
