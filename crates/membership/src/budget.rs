//! Bounded bytes a second: a token bucket over what is sent.
use cluster_types::Time;
use std::time::Duration;

/// What a datagram takes on the wire besides its own bytes: IPv6 and UDP heads. It is counted for IPv4 too, where it is 28.
pub const HEADS: u64 = 48;

const SCALE: u64 = 1_000_000;

/// One bucket.
#[derive(Clone, Debug)]
struct Bucket {
    rate: u64,
    burst: u64,
    /// In millionths of a byte.
    level: u64,
}

impl Bucket {
    fn new(rate: u64, burst: u64) -> Bucket {
        Bucket { rate, burst, level: burst * SCALE }
    }

    fn refill(&mut self, micros: u64) {
        self.level = self.level.saturating_add(micros.saturating_mul(self.rate)).min(self.burst * SCALE);
    }

    fn level(&self) -> u64 {
        self.level / SCALE
    }

    fn take(&mut self, bytes: u64) {
        self.level = self.level.saturating_sub(bytes.saturating_mul(SCALE));
    }
}

/// Two buckets: a quarter is for news only, so that they get on though probes alone would take all, as at a seed that
/// everybody knows and that knows nobody. The rest is for probes and their answers, and for news too while it is more than half full.
#[derive(Clone, Debug)]
pub struct Budget {
    probes: Bucket,
    news: Bucket,
    at: Time,
}

impl Budget {
    pub fn new(rate: u64, burst: u64, now: Time) -> Budget {
        let (news, reserve) = (rate / 4, burst / 4);
        Budget {
            probes: Bucket::new(rate - news, burst - reserve),
            news: Bucket::new(news, reserve),
            at: now,
        }
    }

    fn refill(&mut self, now: Time) {
        let micros = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        self.probes.refill(micros);
        self.news.refill(micros);
        self.at = self.at.max(now);
    }

    /// How many bytes may go now.
    pub fn level(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.probes.level()
    }

    fn over(&self) -> u64 {
        self.probes.level().saturating_sub(self.probes.burst / 2)
    }

    /// How many may go now for news.
    pub fn spare(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.news.level() + self.over()
    }

    /// Takes bytes of a message and of the news on it; false: not enough, nothing taken.
    pub fn take(&mut self, now: Time, bytes: u64, news: u64) -> bool {
        let own = news.min(self.spare(now)).min(self.news.level());
        let rest = bytes + (news - own);
        let enough = self.probes.level() >= rest;
        if enough {
            self.news.take(own);
            self.probes.take(rest);
        }
        enough
    }

    /// When so many may go, from the last look on.
    pub fn when(&self, bytes: u64) -> Time {
        let missing = bytes.saturating_mul(SCALE).saturating_sub(self.probes.level);
        self.at + Duration::from_micros(missing.div_ceil(self.probes.rate))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever is asked for and when, no more goes than the burst and the rate over the time.
        #[test]
        fn no_more_than_burst_and_rate(asks in prop::collection::vec((0u64..400_000, 1u64..1_500, 0u64..900), 1..200)) {
            let (mut budget, mut now, mut sent) = (Budget::new(4_096, 8_192, Time(7)), Time(7), 0);
            for (pause, bytes, news) in asks {
                now = now + Duration::from_micros(pause);
                budget.refill(now);
                let (ready, spare) = (budget.when(bytes), budget.spare(now));
                let news = news.min(spare);
                let taken = budget.take(now, bytes, news);
                prop_assert!(!taken || ready <= now);
                prop_assert!(taken || ready > now || bytes + news > budget.level(now));
                sent += if taken { bytes + news } else { 0 };
                prop_assert!(sent as f64 <= 8_192.0 + 4_096.0 * now.since(Time(7)).as_secs_f64() + 1.0);
            }
        }
    }

    #[test]
    fn probes_leave_news_their_quarter_and_news_leave_probes_half() {
        let mut budget = Budget::new(4_096, 8_192, Time(0));
        while budget.take(Time(0), 100, 0) {}
        assert_eq!(budget.spare(Time(0)), 2_048);
        let mut budget = Budget::new(4_096, 8_192, Time(0));
        let spare = budget.spare(Time(0));
        assert!(budget.take(Time(0), 0, spare));
        assert_eq!((budget.spare(Time(0)), budget.level(Time(0))), (0, 3_072));
    }
}
