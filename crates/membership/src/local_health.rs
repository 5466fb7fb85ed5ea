//! The local health multiplier of Lifeguard: a member whose own probes fail without nacks from the members it asked doubts
//! itself first, and gives the others more time.
use std::time::Duration;

/// The highest score: at it, all spans are one more than this many times as long.
const MAX_SCORE: u32 = 3;

/// How far this member doubts itself.
#[derive(Clone, Debug, Default)]
pub struct LocalHealth {
    /// 0: healthy.
    score: u32,
}

impl LocalHealth {
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The span, multiplied by the current health.
    pub fn scale(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }
}
