//! Latency quantiles in bounded memory, with a decaying weight of older measurements.
use std::time::Duration;

/// Four buckets per power of two, up to about a minute.
const BUCKET_COUNT: usize = 104;
/// At this total weight, the weight of all earlier measurements is halved.
const MAX_COUNT: u32 = 128;

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    buckets: [u16; BUCKET_COUNT],
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram { buckets: [0; BUCKET_COUNT], total: 0 }
    }
}

impl LatencyHistogram {
    /// The maximum total weight of the measurements.
    pub const MAX_COUNT: u32 = MAX_COUNT;

    /// Adds a measurement.
    pub fn record(&mut self, latency: Duration) {
        if self.total >= MAX_COUNT {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.total = self.buckets.iter().map(|count| u32::from(*count)).sum();
        }
        let bucket = bucket_of(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        self.buckets[bucket] = self.buckets[bucket].saturating_add(1);
        self.total += 1;
    }

    /// The total weight of the measurements.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// The quantile at `share`, overestimated by up to a quarter; `None` without measurements.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let needed = ((f64::from(self.total) * share.clamp(0.0, 1.0)).ceil() as u32).max(1);
        let mut seen = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            seen += u32::from(*count);
            if seen >= needed {
                return Some(Duration::from_micros(upper_bound_us(bucket)));
            }
        }
        None
    }
}

fn bucket_of(latency_us: u64) -> usize {
    if latency_us < 4 {
        return latency_us as usize;
    }
    let octave = latency_us.ilog2() as usize;
    let quarter = (latency_us >> (octave - 2)) as usize & 3;
    ((octave - 1) * 4 + quarter).min(BUCKET_COUNT - 1)
}

/// The longest duration that falls in a bucket, in microseconds.
fn upper_bound_us(bucket: usize) -> u64 {
    match bucket {
        0..4 => bucket as u64,
        _ => ((bucket as u64 % 4 + 5) << (bucket / 4 - 1)) - 1,
    }
}
