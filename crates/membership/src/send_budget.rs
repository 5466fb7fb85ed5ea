//! The limit of the sending rate: token buckets.
use cluster_types::Time;
use std::time::Duration;

/// The size of the IPv6 and UDP headers of a datagram. It is used for IPv4 too, where the actual size is 28.
pub const IP_UDP_HEADER_BYTES: u64 = 48;

/// Bucket levels are in millionths of a byte, so that the refill for one microsecond is an integer.
const MICROBYTES_PER_BYTE: u64 = 1_000_000;

/// One token bucket.
#[derive(Clone, Debug)]
struct Bucket {
    bytes_per_second: u64,
    burst_bytes: u64,
    level_microbytes: u64,
}

impl Bucket {
    /// Creates a full bucket.
    fn new(bytes_per_second: u64, burst_bytes: u64) -> Bucket {
        Bucket { bytes_per_second, burst_bytes, level_microbytes: burst_bytes * MICROBYTES_PER_BYTE }
    }

    fn refill(&mut self, micros: u64) {
        let added = micros.saturating_mul(self.bytes_per_second);
        let full = self.burst_bytes * MICROBYTES_PER_BYTE;
        self.level_microbytes = self.level_microbytes.saturating_add(added).min(full);
    }

    fn level_bytes(&self) -> u64 {
        self.level_microbytes / MICROBYTES_PER_BYTE
    }

    fn take(&mut self, bytes: u64) {
        let microbytes = bytes.saturating_mul(MICROBYTES_PER_BYTE);
        self.level_microbytes = self.level_microbytes.saturating_sub(microbytes);
    }

    /// The level in excess of half of the burst size, in bytes.
    fn level_above_half(&self) -> u64 {
        self.level_bytes().saturating_sub(self.burst_bytes / 2)
    }
}

/// Two token buckets. A quarter of the rate is reserved for updates, so that they are disseminated even if probes alone would
/// exhaust the budget, as at a restarted seed that every member probes while it knows none of them. The rest is for probes
/// and their answers; updates may use it too while that bucket is more than half full.
#[derive(Clone, Debug)]
pub struct SendBudget {
    probes: Bucket,
    updates: Bucket,
    refilled_at: Time,
}

impl SendBudget {
    /// Creates a full budget, refilled from `now` on.
    pub fn new(bytes_per_second: u64, burst_bytes: u64, now: Time) -> SendBudget {
        let (update_rate, update_burst) = (bytes_per_second / 4, burst_bytes / 4);
        SendBudget {
            probes: Bucket::new(bytes_per_second - update_rate, burst_bytes - update_burst),
            updates: Bucket::new(update_rate, update_burst),
            refilled_at: now,
        }
    }

    /// Refills the buckets for the time since the last refill.
    pub fn refill(&mut self, now: Time) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        self.probes.refill(micros);
        self.updates.refill(micros);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The bytes available now for a message, excluding its updates.
    pub fn available(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.probes.level_bytes()
    }

    /// The bytes available now for updates.
    pub fn available_for_updates(&mut self, now: Time) -> u64 {
        self.refill(now);
        self.updates.level_bytes() + self.probes.level_above_half()
    }

    /// Takes the bytes of a message and of its updates. If the budget doesn't suffice, takes nothing and returns false.
    pub fn take(&mut self, now: Time, message_bytes: u64, update_bytes: u64) -> bool {
        let allowed = update_bytes.min(self.available_for_updates(now));
        let from_updates = allowed.min(self.updates.level_bytes());
        let from_probes = message_bytes + (update_bytes - from_updates);
        let enough = self.probes.level_bytes() >= from_probes;
        if enough {
            self.updates.take(from_updates);
            self.probes.take(from_probes);
        }
        enough
    }

    /// When `bytes` will be available for a message, computed from the last refill.
    pub fn available_at(&self, bytes: u64) -> Time {
        let needed = bytes.saturating_mul(MICROBYTES_PER_BYTE);
        let missing = needed.saturating_sub(self.probes.level_microbytes);
        self.refilled_at + Duration::from_micros(missing.div_ceil(self.probes.bytes_per_second))
    }
}
