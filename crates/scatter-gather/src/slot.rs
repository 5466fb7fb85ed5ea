//! The state of one shard request of a gather.
use crate::answer::{HeldValue, MissingReason};
use crate::memory::Reservation;
use cluster_types::Time;
use std::time::Duration;

#[derive(Debug)]
pub(crate) enum Slot<V> {
    /// Sent, and waited for.
    Waiting(Waiting),
    /// The value is here.
    Received(HeldValue<V>),
    /// It won't arrive.
    Missing {
        reason: MissingReason,
        /// When a retry may be worthwhile, where the request was rejected with such a time.
        retry_after: Option<Duration>,
    },
    /// The gather ended while its response was waited for.
    Abandoned { sent_at: Time },
    /// Nothing more is known of it.
    Done,
}

/// A request whose response is waited for.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub sent_at: Time,
    /// How long it is worth waiting for.
    pub wait_until: Time,
    /// How long a probe waits for it in any case.
    pub probe_until: Time,
    /// The memory for the value.
    pub reservation: Reservation,
}

impl<V> Slot<V> {
    /// A response that is missing without a time for a retry.
    pub fn missing(reason: MissingReason) -> Slot<V> {
        Slot::Missing { reason, retry_after: None }
    }

    /// Whether the value is here.
    pub fn is_received(&self) -> bool {
        matches!(self, Slot::Received(_))
    }

    /// Whether the value is here or may still arrive.
    pub fn is_possible(&self) -> bool {
        matches!(self, Slot::Received(_) | Slot::Waiting(_))
    }

    /// How long it is worth waiting for; none where it is not waited for.
    pub fn wait_until(&self) -> Option<Time> {
        match self {
            Slot::Waiting(waiting) => Some(waiting.wait_until),
            _ => None,
        }
    }

    /// When the request was sent; none where it is not waited for.
    pub fn sent_at(&self) -> Option<Time> {
        match self {
            Slot::Waiting(waiting) => Some(waiting.sent_at),
            _ => None,
        }
    }

    /// The bytes that it has reserved.
    pub fn reserved_bytes(&self) -> u64 {
        match self {
            Slot::Waiting(Waiting { reservation, .. }) | Slot::Received(HeldValue { reservation, .. }) => {
                reservation.bytes()
            }
            Slot::Missing { .. } | Slot::Abandoned { .. } | Slot::Done => 0,
        }
    }

    /// Why it is missing, where that is known.
    pub fn missing_reason(&self) -> Option<MissingReason> {
        match self {
            Slot::Missing { reason, .. } => Some(reason.clone()),
            _ => None,
        }
    }

    /// When a retry may be worthwhile, where the request was rejected with such a time.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Slot::Missing { reason: MissingReason::Rejected, retry_after } => *retry_after,
            _ => None,
        }
    }
}
