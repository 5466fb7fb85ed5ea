//! A token bucket that limits how many bytes a relay sends for subscriptions.
use cluster_types::Time;

/// A token bucket whose tokens are bytes. Its balance may become negative by one transfer.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_second: f64,
    capacity_bytes: f64,
    available_bytes: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_second: f64, capacity_bytes: f64, now: Time) -> TokenBucket {
        TokenBucket { bytes_per_second, capacity_bytes, available_bytes: capacity_bytes, refilled_at: now }
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.available_bytes = (self.available_bytes + added).min(self.capacity_bytes);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes tokens for a transfer of about `bytes`, and returns whether it may start. It may while any token is left: a
    /// transfer larger than the available tokens makes the balance negative.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        let is_admitted = self.available_bytes > 0.0;
        if is_admitted {
            self.available_bytes -= bytes as f64;
        }
        is_admitted
    }
}
