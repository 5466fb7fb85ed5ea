//! Events and actions of a subscriber.
use crate::change::Change;
use crate::key::Key;
use crate::message::{RelayMessage, SubscriberMessage};
use backoff::Failure;

/// An event for a subscriber.
#[derive(Clone, Debug)]
pub enum SubscriberEvent {
    /// Time has passed.
    Tick,
    /// A requested connection is open.
    Connected {
        /// The connection.
        connection: u64,
    },
    /// A connection could not be opened, or has ended.
    Disconnected {
        /// The connection.
        connection: u64,
        /// The kind of failure.
        failure: Failure,
    },
    /// A relay has sent a message.
    Message {
        /// The connection.
        connection: u64,
        /// The message.
        message: RelayMessage,
    },
    /// The host has answered [`SubscriberAction::Apply`]: everything is applied, or nothing.
    ApplyFinished {
        /// The rejected keys, each with the reason; empty if everything is applied.
        rejected: Vec<(Key, String)>,
    },
}

/// An action that a subscriber requests from its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberAction {
    /// Open a connection to a relay.
    Connect {
        /// The number of the connection, never used again.
        connection: u64,
        /// The relay's position in the order of preference.
        relay: usize,
    },
    /// Close a connection, or abort opening it.
    Close {
        /// The connection.
        connection: u64,
    },
    /// Send a message.
    Send {
        /// The connection.
        connection: u64,
        /// The message.
        message: SubscriberMessage,
    },
    /// Apply these values together, or none of them, and answer with [`SubscriberEvent::ApplyFinished`]. No other request
    /// to apply values is made before that.
    Apply {
        /// Whether these are all values of the scope: keys that are not included are deleted.
        is_snapshot: bool,
        /// The values, newer than those held. A change without a value deletes the key.
        changes: Vec<Change>,
    },
    /// Replace the state on disk by this one.
    Persist(Vec<u8>),
}

/// Counters of a subscriber since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStats {
    /// Applied changes.
    pub applied: u64,
    /// Rejected changes.
    pub rejected: u64,
    /// Applied snapshots.
    pub snapshots: u64,
    /// Checksums that differed from the relay's: a change was missed.
    pub checksum_mismatches: u64,
    /// Messages that were malformed, unexpected, or older than the state; they had no effect.
    pub protocol_errors: u64,
    /// Relays that were disconnected because they serve another log.
    pub foreign_relays: u64,
    /// Connection attempts.
    pub connection_attempts: u64,
}
