//! Quantiles of measured times, in bounded memory, where older measurements count less.
use std::time::Duration;

/// Four buckets an octave, up to about a minute.
const BUCKET_COUNT: usize = 104;
/// From so many measurements on, all that were made so far count half.
const MAX_COUNT: u32 = 128;

/// A histogram of time spans.
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
    /// The most measurements that count.
    pub const MAX_COUNT: u32 = MAX_COUNT;

    /// Adds a measured time.
    pub fn record(&mut self, span: Duration) {
        if self.total >= MAX_COUNT {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.total = self.buckets.iter().map(|count| u32::from(*count)).sum();
        }
        let bucket = bucket_of(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
        self.buckets[bucket] = self.buckets[bucket].saturating_add(1);
        self.total += 1;
    }

    /// The number of measurements that count.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// The time within which this share of the measurements lies, up to a quarter too long; none without a measurement.
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

fn bucket_of(span_us: u64) -> usize {
    if span_us < 4 {
        return span_us as usize;
    }
    let octave = span_us.ilog2() as usize;
    let quarter = (span_us >> (octave - 2)) as usize & 3;
    ((octave - 1) * 4 + quarter).min(BUCKET_COUNT - 1)
}

/// The longest span of a bucket.
fn upper_bound_us(bucket: usize) -> u64 {
    match bucket {
        0..4 => bucket as u64,
        _ => ((bucket as u64 % 4 + 5) << (bucket / 4 - 1)) - 1,
    }
}
