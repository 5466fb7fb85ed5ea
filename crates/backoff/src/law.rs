//! How long pauses are, and why.

/// What the service had to tell and could be asked for counts as told so much later (µs).
pub const TOLD: i64 = 6_000_000;
/// Empty lines come on a watch every 2 s while nothing changes, and may be so late: what says nothing for longer is broken (µs).
pub const LIVENESS: i64 = 2_000_000 + 600_000;
/// What is left of the clock for a call that is answered in its turn (µs).
pub const TURN: i64 = 1_300_000;
/// A call that has no answer yet gets another beside it after this time (µs).
///
/// The service handles calls in turn: one beside a call that only waits for its turn makes that longer for all. So this is as
/// long as the clock allows: the longest pause, or a call that is turned away late with the least one, and then a silent call
/// share all but the turn of the one that is answered.
pub const BESIDE: i64 = (TOLD - TURN - LEAST) / 2;

/// The least pause, and the shortest window from which pauses are drawn (µs).
pub(crate) const LEAST: i64 = 100_000;
const SHORTEST: i64 = 200_000;
/// Before anything is observed the calls of a fleet lie so far apart in the mean, as far as the clock leaves room (µs).
const APART: i64 = 10_000;
/// The longest window: a call after it may be lost, and the one beside it is still answered in time.
const LONGEST: i64 = TOLD - BESIDE - TURN;
/// The window after silence, and how long a call is waited for then: noticing has taken its part of the clock.
const AFTER_SILENCE: i64 = SHORTEST;
const BESIDE_AFTER_SILENCE: i64 = TOLD - LIVENESS - AFTER_SILENCE - TURN;

/// What became of a call, or of a watch that was up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens: a call costs the service nothing. It may be back in the next instant.
    Down,
    /// The service answered that it can't, or ended the connection without an answer: it has more calls than it can bear, or
    /// can't tell. One more call now would only be one more to be turned away.
    Overbooked,
    /// A watch that was up has ended: perhaps this one, perhaps all at once.
    Ended,
    /// A watch that was up says nothing any more.
    Silent,
}

/// The windows from which pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Law {
    first: i64,
}

impl Law {
    /// The law for a caller that is one of so many.
    pub fn fleet(callers: u32) -> Law {
        Law { first: (APART * i64::from(callers)).clamp(SHORTEST, LONGEST) }
    }

    /// From when to when the next call may come after so many failures in turn, counted from the call that failed or from the
    /// watch's end (µs). It is drawn evenly from all of the window.
    ///
    /// After [`Failure::Overbooked`] the window begins in the middle of the longest one: those ahead fill all the time for
    /// which the service lets calls wait, and there is no room sooner.
    pub fn window(&self, failure: Failure, failures: u32) -> (i64, i64) {
        match failure {
            Failure::Overbooked => (LONGEST / 2, LONGEST),
            Failure::Silent if failures == 0 => (LEAST, AFTER_SILENCE),
            _ => (LEAST, (self.first << failures.min(8)).min(LONGEST)),
        }
    }

    /// How long a call may have no answer before another is made beside it, after such a failure (µs).
    pub fn beside(&self, failure: Failure) -> i64 {
        match failure {
            Failure::Silent => BESIDE_AFTER_SILENCE,
            _ => BESIDE,
        }
    }
}
