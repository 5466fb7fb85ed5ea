//! Limits and intervals of relays.
use std::time::Duration;

/// The rate and the burst of a [`crate::TokenBucket`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The average rate, in bytes per second.
    pub bytes_per_second: f64,
    /// The maximum burst, in bytes.
    pub burst_bytes: f64,
}

/// Limits and intervals of relays.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long changes of [`crate::Class::Configuration`] are collected before they are sent.
    pub batch_interval: Duration,
    /// The longest pause between two messages to a subscriber. Must be below `backoff::IDLE_TIMEOUT_US`, after which a
    /// subscriber considers its relay dead.
    pub heartbeat_interval: Duration,
    /// How long a subscriber may take to reply before its connection is closed.
    pub reply_timeout: Duration,
    /// The maximum number of subscribers of a relay.
    pub max_subscribers: usize,
    /// The maximum size of a message of changes; a subscriber that lacks more is sent a snapshot.
    pub max_message_bytes: usize,
    /// The maximum size of a chunk of a snapshot.
    pub chunk_bytes: usize,
    /// The rate limit for new subscriptions and snapshots.
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
