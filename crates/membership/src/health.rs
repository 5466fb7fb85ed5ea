//! Awareness of one's own state, after Lifeguard: a member whose own probes fail without a word from those it asked doubts
//! itself first, and gives the others more time.
use std::time::Duration;

/// At the worst, all spans are this many times longer, plus one.
const WORST: u32 = 3;

#[derive(Clone, Debug, Default)]
pub struct Health {
    score: u32,
}

impl Health {
    pub fn worse(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    pub fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }
}
