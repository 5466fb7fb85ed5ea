//! The local health multiplier of Lifeguard: a member whose probes fail without nacks from the helpers assumes that it may
//! be faulty itself, and extends its timeouts for other members.
use std::time::Duration;

/// The maximum score. Timeouts are multiplied by the score plus 1.
const MAX_SCORE: u32 = 3;

/// The health of this member, as estimated by itself.
#[derive(Clone, Debug, Default)]
pub struct LocalHealth {
    /// 0 is healthy; higher is worse.
    score: u32,
}

impl LocalHealth {
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a timeout by the current local health multiplier.
    pub fn scale(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }
}
