//! Events and actions of a relay.
use crate::change::Change;
use crate::message::{RelayMessage, SubscriberMessage};
use crate::report::Report;
use std::sync::Arc;

/// An event for a relay.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// Time has passed.
    Tick,
    /// A subscriber has connected.
    Connected {
        /// The number of the connection, never used again.
        connection: u64,
        /// The subscriber's authenticated name.
        name: Arc<str>,
    },
    /// A connection has ended.
    Disconnected {
        /// The connection.
        connection: u64,
    },
    /// A subscriber has sent a message.
    Message {
        /// The connection.
        connection: u64,
        /// The message.
        message: SubscriberMessage,
    },
    /// The catalogue has changed, through the log or the followed relay.
    CatalogueChanged(Vec<Change>),
    /// Reports of other control machines.
    PeerReports(Vec<Report>),
}

/// Why a relay closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The subscriber should retry later.
    RetryLater,
    /// The subscriber did not reply in time.
    ReplyTimeout,
    /// The subscriber sent a message that violates the protocol.
    ProtocolError,
    /// The subscriber has opened another connection.
    Replaced,
}

/// An action that a relay requests from its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// The connection.
        connection: u64,
        /// The message.
        message: RelayMessage,
    },
    /// Close a connection after the messages sent before are written.
    Close {
        /// The connection.
        connection: u64,
        /// Why.
        reason: CloseReason,
    },
    /// Send new reports to the other control machines.
    ShareReports(Vec<Report>),
}

/// Counters of a relay since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayStats {
    /// Accepted subscriptions.
    pub accepted: u64,
    /// Deferred subscriptions: the subscriber should retry later.
    pub deferred: u64,
    /// Messages of changes sent.
    pub change_messages: u64,
    /// Chunks of snapshots sent.
    pub chunks: u64,
    /// Connections closed because the subscriber did not reply in time.
    pub reply_timeouts: u64,
    /// Subscribers that lagged too far behind and were sent a snapshot.
    pub resnapshots: u64,
    /// Messages that violated the protocol; they had no effect.
    pub protocol_errors: u64,
}
