//! Outgoing messages before they are encoded.
use crate::digest::Digest;
use crate::wire::Message;
use cluster_types::{MemberId, Time};

/// Which incarnation of the receiver a message is addressed to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Addressing {
    /// The known one.
    KnownIncarnation,
    /// Any, since the receiver may have restarted.
    AnyIncarnation,
}

/// Which part of the send budget a message may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Priority {
    /// Sent at once or deferred; carries updates as far as the budget allows.
    Probe,
    /// Sent only if the budget for updates allows it; dropped otherwise.
    Background,
}

/// A message to another member, before it is encoded.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberId,
    /// The message.
    pub message: Message,
    /// Which incarnation of the receiver it is addressed to.
    pub addressing: Addressing,
    /// Which part of the send budget it may use.
    pub priority: Priority,
    /// The receiver's digest, if it differs from this member's: the remaining space is filled with the members and claims of
    /// the differing buckets.
    pub sync_against: Option<Digest>,
}

impl Outgoing {
    /// A message to the known incarnation, with the priority of probes.
    pub fn new(to: &MemberId, message: Message) -> Outgoing {
        Outgoing {
            to: to.clone(),
            message,
            addressing: Addressing::KnownIncarnation,
            priority: Priority::Probe,
            sync_against: None,
        }
    }

    pub fn for_any_incarnation(self) -> Outgoing {
        Outgoing { addressing: Addressing::AnyIncarnation, ..self }
    }

    pub fn in_background(self) -> Outgoing {
        Outgoing { priority: Priority::Background, ..self }
    }

    pub fn syncing(self, differing_digest: Option<Digest>) -> Outgoing {
        Outgoing { sync_against: differing_digest, ..self }
    }
}

/// A message that is waiting for the send budget.
#[derive(Clone, Debug)]
pub struct Deferred {
    /// The message.
    pub outgoing: Outgoing,
    /// When it was deferred.
    pub since: Time,
}
