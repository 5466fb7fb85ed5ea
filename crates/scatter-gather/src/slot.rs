//! The state of one shard request of a gather.
use crate::answer::{HeldValue, MissingReason};
use crate::memory::Reservation;
use cluster_types::Time;
use std::time::Duration;

#[derive(Debug)]
pub(crate) enum Slot<V> {
    /// The request was sent and its response is pending.
    Waiting(Waiting),
    /// The value has arrived.
    Received(HeldValue<V>),
    /// No value will arrive.
    Missing {
        reason: MissingReason,
        /// When to retry, if the rejection said so.
        retry_after: Option<Duration>,
    },
    /// The gather ended while the response was pending.
    Abandoned { sent_at: Time },
    /// The request has ended, and its value or reason is no longer held.
    Done,
}

/// A request whose response is pending.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub sent_at: Time,
    /// When to stop waiting for the response.
    pub wait_until: Time,
    /// The earliest `wait_until` for a probe; `sent_at` if this is not a probe.
    pub probe_until: Time,
    /// The memory reserved for the value.
    pub reservation: Reservation,
}

impl<V> Slot<V> {
    /// A missing response without a retry time.
    pub fn missing(reason: MissingReason) -> Slot<V> {
        Slot::Missing { reason, retry_after: None }
    }

    /// Whether the value has arrived.
    pub fn is_received(&self) -> bool {
        matches!(self, Slot::Received(_))
    }

    /// Whether the value has arrived or may still arrive.
    pub fn is_possible(&self) -> bool {
        matches!(self, Slot::Received(_) | Slot::Waiting(_))
    }

    /// When to stop waiting; `None` if no response is pending.
    pub fn wait_until(&self) -> Option<Time> {
        match self {
            Slot::Waiting(waiting) => Some(waiting.wait_until),
            _ => None,
        }
    }

    /// When the request was sent; `None` if no response is pending.
    pub fn sent_at(&self) -> Option<Time> {
        match self {
            Slot::Waiting(waiting) => Some(waiting.sent_at),
            _ => None,
        }
    }

    /// The bytes reserved for the value.
    pub fn reserved_bytes(&self) -> u64 {
        match self {
            Slot::Waiting(Waiting { reservation, .. }) | Slot::Received(HeldValue { reservation, .. }) => {
                reservation.bytes()
            }
            Slot::Missing { .. } | Slot::Abandoned { .. } | Slot::Done => 0,
        }
    }

    /// Why the response is missing; `None` if it is not.
    pub fn missing_reason(&self) -> Option<MissingReason> {
        match self {
            Slot::Missing { reason, .. } => Some(reason.clone()),
            _ => None,
        }
    }

    /// When to retry, if the request was rejected with such a time.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Slot::Missing { reason: MissingReason::Rejected, retry_after } => *retry_after,
            _ => None,
        }
    }
}
