//! The events and the actions of a relay.
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
    /// The catalogue has changed, by the log or by the relay that is followed.
    CatalogueChanged(Vec<Change>),
    /// Reports of other control machines.
    PeerReports(Vec<Report>),
}

/// Why a relay closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The subscriber is to try again later.
    RetryLater,
    /// The subscriber did not answer in time.
    ReplyTimeout,
    /// The subscriber sent a message that breaks the protocol.
    ProtocolError,
    /// The subscriber has another connection by now.
    Replaced,
}

/// What a relay asks its host to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// The connection.
        connection: u64,
        /// The message.
        message: RelayMessage,
    },
    /// Close a connection, once what was sent before is written.
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
    /// Subscriptions that were accepted.
    pub accepted: u64,
    /// Subscriptions that were deferred: the subscriber is to try again later.
    pub deferred: u64,
    /// Messages of changes.
    pub change_messages: u64,
    /// Chunks of snapshots.
    pub chunks: u64,
    /// Connections closed because the subscriber did not answer in time.
    pub reply_timeouts: u64,
    /// Subscribers that lagged too far behind and were sent a snapshot.
    pub resnapshots: u64,
    /// Messages that broke the protocol; they changed nothing.
    pub protocol_errors: u64,
}
