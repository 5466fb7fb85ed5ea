//! The messages between subscribers and relays. Each is sent in a signed frame of its own.
//!
//! The encoding (postcard) counts variants and fields: their order is part of the protocol.
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
    /// Asks for all changes in a scope after a version (0: from the beginning).
    Subscribe {
        /// The log that the version belongs to.
        log_id: u64,
        /// The topics asked for.
        scope: Scope,
        /// The version up to which the subscriber holds everything.
        from: Index,
    },
    /// Everything up to a version is applied, except for what is rejected.
    Acknowledge {
        /// The version.
        up_to: Index,
        /// Values that are rejected and still the newest of their keys, [`crate::MAX_REPORTED_GATEWAYS`] at most.
        rejected: Vec<Rejection>,
    },
    /// A chunk of a snapshot was received: the next one may be sent.
    NextChunk,
    /// From relays: the state of the gateways that they serve.
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
    /// The relay is at its limits: the subscriber is to try again later, at this or another relay.
    RetryLater,
    /// All changes from one version to another, to be applied together.
    Changes {
        /// The version that the subscriber must hold.
        from: Index,
        /// The version that it holds with them.
        up_to: Index,
        /// The changes, in the order of the log.
        changes: Vec<Change>,
    },
    /// A chunk of a snapshot of the scope. What has changed since `base` follows the last one.
    SnapshotChunk {
        /// The version as of the first chunk.
        base: Index,
        /// Whether it is the first chunk: chunks of an earlier snapshot are to be discarded.
        is_first: bool,
        /// Whether it is the last chunk.
        is_last: bool,
        /// Values of the scope.
        entries: Vec<Change>,
    },
    /// The relay is there, and nothing more has changed in the scope up to a version.
    Heartbeat {
        /// The version.
        up_to: Index,
        /// In some of them the checksum over all values in the scope.
        checksum: Option<u64>,
        /// For how long the relay itself has not heard of the log; none while it does.
        isolated_for: Option<Duration>,
    },
    /// To relays: the reports of all other relays.
    Reports(Vec<Report>),
}
