//! What relays and subscribers go by.
use std::time::Duration;

/// Bounds and spans.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For how long changes of configuration are gathered before they go out together.
    pub batch: Duration,
    /// How often a subscriber hears something at least. Must be what `backoff` takes for a healthy quiet.
    pub alive: Duration,
    /// How long a subscriber may take to answer what it was sent before it is cut off.
    pub patience: Duration,
    /// Subscribers that a relay serves at most.
    pub most: usize,
    /// The most bytes of one message of changes; more becomes a snapshot.
    pub message: usize,
    /// The bytes of one piece of a snapshot.
    pub piece: usize,
    /// What a relay may send for subscriptions, in bytes a second, and saved up.
    pub admission: (f64, f64),
    /// How often reports are made.
    pub report: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            batch: Duration::from_secs(2),
            alive: Duration::from_secs(2),
            patience: Duration::from_secs(6),
            most: 256,
            message: 64 * 1024,
            piece: 32 * 1024,
            admission: (1_000_000.0, 1_000_000.0),
            report: Duration::from_secs(1),
        }
    }
}
