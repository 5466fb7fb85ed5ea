//! Quantiles of measured times, in bounded memory, with what is older counting less.
use std::time::Duration;

/// Four buckets an octave, up to about a minute.
const BUCKETS: usize = 104;
/// From so many on, all that was measured so far counts half.
const MOST: u32 = 128;

/// A histogram over time spans.
#[derive(Clone, Debug)]
pub struct Latencies {
    buckets: [u16; BUCKETS],
    total: u32,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies { buckets: [0; BUCKETS], total: 0 }
    }
}

impl Latencies {
    /// Adds a measured time.
    pub fn add(&mut self, span: Duration) {
        if self.total >= MOST {
            self.buckets.iter_mut().for_each(|b| *b /= 2);
            self.total = self.buckets.iter().map(|b| u32::from(*b)).sum();
        }
        let at = bucket(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
        self.buckets[at] = self.buckets[at].saturating_add(1);
        self.total += 1;
    }

    /// How many count.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// The time within which this share of them lies, up to a quarter too long; none where nothing was measured.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let need = ((f64::from(self.total) * share.clamp(0.0, 1.0)).ceil() as u32).max(1);
        let mut seen = 0;
        for (i, count) in self.buckets.iter().enumerate() {
            seen += u32::from(*count);
            if seen >= need {
                return Some(Duration::from_micros(upper(i)));
            }
        }
        None
    }
}

fn bucket(micros: u64) -> usize {
    if micros < 4 {
        return micros as usize;
    }
    let octave = micros.ilog2() as usize;
    let quarter = (micros >> (octave - 2)) as usize & 3;
    ((octave - 1) * 4 + quarter).min(BUCKETS - 1)
}

/// What lies in a bucket is at most this.
fn upper(bucket: usize) -> u64 {
    match bucket {
        0..4 => bucket as u64,
        _ => ((bucket as u64 % 4 + 5) << (bucket / 4 - 1)) - 1,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_holds_what_falls_in_it() {
        for micros in (0..100_000).chain([1 << 20, (1 << 20) - 1, 30_000_000]) {
            let up = upper(bucket(micros));
            assert!(up >= micros && up as f64 <= micros as f64 * 1.25 + 1.0, "{micros} {up}");
        }
        assert_eq!(bucket(u64::MAX), BUCKETS - 1);
    }

    #[test]
    fn new_measurements_outweigh_old_ones() {
        let mut times = Latencies::default();
        assert_eq!(times.quantile(0.5), None);
        (0..1000).for_each(|_| times.add(Duration::from_millis(400)));
        (0..400).for_each(|_| times.add(Duration::from_millis(20)));
        assert!(times.quantile(0.9).is_some_and(|t| t < Duration::from_millis(30)));
        assert!(times.count() <= MOST);
    }
}
