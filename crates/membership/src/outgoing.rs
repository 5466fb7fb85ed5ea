//! Messages that are to be sent.
use crate::digest::Digest;
use crate::wire::Message;
use cluster_types::{MemberId, Time};

/// Which incarnation of the receiver a message is addressed to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Addressing {
    /// The one that is known.
    KnownIncarnation,
    /// Any: the receiver may have been restarted.
    AnyIncarnation,
}

/// What a message may use of the send budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Priority {
    /// It is sent before all others, or deferred, and carries updates where there are bytes for them.
    Probe,
    /// It is sent only if there are bytes to spare.
    Background,
}

/// A message to another member, before it is encoded.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberId,
    /// What it is sent for.
    pub message: Message,
    /// Which incarnation of the receiver it is addressed to.
    pub addressing: Addressing,
    /// What it may use of the send budget.
    pub priority: Priority,
    /// The receiver's digest where it differs from this member's: the remaining space is filled with the members and claims of
    /// the differing parts.
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

/// A message that waits for the send budget.
#[derive(Clone, Debug)]
pub struct Deferred {
    /// The message.
    pub outgoing: Outgoing,
    /// When it was deferred.
    pub since: Time,
}
