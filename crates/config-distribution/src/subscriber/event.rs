//! The events and the actions of a subscriber.
use crate::change::Change;
use crate::key::Key;
use crate::message::{RelayMessage, SubscriberMessage};
use backoff::Failure;

/// An event for a subscriber.
#[derive(Clone, Debug)]
pub enum SubscriberEvent {
    /// Time has passed.
    Tick,
    /// A connection that was asked for is open.
    Connected {
        /// The connection.
        connection: u64,
    },
    /// A connection could not be opened, or has ended.
    Disconnected {
        /// The connection.
        connection: u64,
        /// What that shows of the relay.
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
        /// The keys at fault, each with the reason; empty where everything is applied.
        rejected: Vec<(Key, String)>,
    },
}

/// What a subscriber asks its host to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberAction {
    /// Open a connection to a relay.
    Connect {
        /// The number of the connection, never used again.
        connection: u64,
        /// The relay, by its place in the order of preference.
        relay: usize,
    },
    /// Close a connection, or give up opening it.
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
    /// Apply these values together, or none of them, and answer with [`SubscriberEvent::ApplyFinished`]. Until then the
    /// host is asked to apply nothing else.
    Apply {
        /// Whether they are all values that there are: a key that is missing is deleted.
        is_snapshot: bool,
        /// The values, newer than those held. One of none deletes the key.
        changes: Vec<Change>,
    },
    /// Write this state to the disk in place of the last one.
    Persist(Vec<u8>),
}

/// Counters of a subscriber since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStats {
    /// Changes that were applied.
    pub applied: u64,
    /// Changes that were rejected.
    pub rejected: u64,
    /// Snapshots that were applied.
    pub snapshots: u64,
    /// Checksums that differed from the relay's: something was missed.
    pub checksum_mismatches: u64,
    /// Messages that were malformed, unexpected, or older than what is held; they changed nothing.
    pub protocol_errors: u64,
    /// Relays that were left because they follow another log.
    pub foreign_relays: u64,
    /// Connection attempts.
    pub connection_attempts: u64,
}
