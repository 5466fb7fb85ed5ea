//! Limits and intervals of relays.
use std::time::Duration;

/// The rate and the burst of a [`crate::TokenBucket`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Bytes a second.
    pub bytes_per_second: f64,
    /// Bytes that may be saved up.
    pub burst_bytes: f64,
}

/// Limits and intervals of relays.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long changes of [`crate::Class::Configuration`] are batched.
    pub batch_interval: Duration,
    /// The longest pause between two messages to a subscriber. Must be below `backoff::IDLE_TIMEOUT_US`, after which a subscriber
    /// takes its relay for dead.
    pub heartbeat_interval: Duration,
    /// How long a subscriber may take to answer before its connection is closed.
    pub reply_timeout: Duration,
    /// The most subscribers that a relay serves.
    pub max_subscribers: usize,
    /// The most bytes of one message of changes; a subscriber that lacks more is sent a snapshot.
    pub max_message_bytes: usize,
    /// The bytes of one chunk of a snapshot.
    pub chunk_bytes: usize,
    /// How much a relay sends for new subscriptions and snapshots.
    pub subscription_rate: RateLimit,
    /// How often a relay reports.
    pub report_interval: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            batch_interval: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(2),
            reply_timeout: Duration::from_secs(6),
            max_subscribers: 256,
            max_message_bytes: 64 * 1024,
            chunk_bytes: 32 * 1024,
            subscription_rate: RateLimit { bytes_per_second: 1_000_000.0, burst_bytes: 1_000_000.0 },
            report_interval: Duration::from_secs(1),
        }
    }
}
