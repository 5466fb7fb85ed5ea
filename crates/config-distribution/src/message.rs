//! The messages between subscribers and relays. Each is sent in its own signed frame.
//!
//! Postcard encodes variants and fields by position: their order is part of the protocol.
use crate::change::Change;
use crate::rejection::Rejection;
use crate::report::Report;
use crate::scope::Scope;
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// From a subscriber to its relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Requests all changes in a scope after a version (0: from the beginning).
    Subscribe {
        /// The log that the version belongs to.
        log_id: u64,
        /// The requested topics.
        scope: Scope,
        /// The version up to which the subscriber holds all changes.
        from: Index,
    },
    /// All changes up to a version are applied, except for the rejected ones.
    Acknowledge {
        /// The version.
        up_to: Index,
        /// Rejected values that are still the newest of their keys, at most [`crate::MAX_REPORTED_GATEWAYS`].
        rejected: Vec<Rejection>,
    },
    /// Confirms a chunk of a snapshot: the next one may be sent.
    NextChunk,
    /// From a relay: the progress of the gateways that it serves.
    Report(Report),
}

/// From a relay to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The subscription is accepted; changes follow.
    Subscribed {
        /// The log that the relay serves.
        log_id: u64,
    },
    /// The relay can't serve the subscriber now: it should retry later, at this or another relay.
    RetryLater,
    /// All changes after one version up to another, to be applied together.
    Changes {
        /// The version that the subscriber must already hold.
        from: Index,
        /// The version that the subscriber holds after applying them.
        up_to: Index,
        /// The changes, in the order of the log.
        changes: Vec<Change>,
    },
    /// A chunk of a snapshot of the scope. The changes since `base` follow the last chunk.
    SnapshotChunk {
        /// The version as of the first chunk.
        base: Index,
        /// Whether it is the first chunk: chunks of an earlier snapshot must be discarded.
        is_first: bool,
        /// Whether it is the last chunk.
        is_last: bool,
        /// Values of the scope.
        entries: Vec<Change>,
    },
    /// The relay is alive, and nothing more has changed in the scope up to a version.
    Heartbeat {
        /// The version.
        up_to: Index,
        /// The checksum over all values in the scope; only in some heartbeats.
        checksum: Option<u64>,
        /// How long the relay itself has had no contact with the log; none while it has contact.
        isolated_for: Option<Duration>,
    },
    /// To a relay: the recent reports of all relays.
    Reports(Vec<Report>),
}
