//! How much a relay sends to those who subscribe: tokens, in bytes.
use cluster_types::Time;

/// A store of tokens.
#[derive(Clone, Debug)]
pub struct Admission {
    rate: f64,
    most: f64,
    held: f64,
    as_of: Time,
}

impl Admission {
    /// A full one: so many tokens a second, so many saved up at most.
    pub fn new(rate: f64, most: f64, now: Time) -> Admission {
        Admission { rate, most, held: most, as_of: now }
    }

    fn fill(&mut self, now: Time) {
        let more = now.since(self.as_of).as_secs_f64() * self.rate;
        (self.held, self.as_of) = ((self.held + more).min(self.most), now.max(self.as_of));
    }

    /// Whether one more may begin that will take about so many. It does where there is anything left: one that takes more than
    /// is saved up leaves a debt.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        self.fill(now);
        let admitted = self.held > 0.0;
        if admitted {
            self.held -= bytes as f64;
        }
        admitted
    }
}
