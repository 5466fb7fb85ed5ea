//! What a member does with a backend, and the part of it that survives a restart.
use cluster_types::{BackendId, Index, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a member does with a backend. Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum AppliedOrder {
    /// It is drained for this grant.
    Drain(Index),
    /// It recovers by this step, with this many thousandths of its cold budget.
    Ramp(Index, u16),
    /// It was drained by a log that no longer exists. Only an operator, or an order of the present log, ends that.
    Orphan,
}

impl AppliedOrder {
    pub(super) fn is_drained(self) -> bool {
        !matches!(self, AppliedOrder::Ramp(_, 1..))
    }

    /// The grant that the backend is drained for.
    pub(super) fn grant(self) -> Option<Index> {
        match self {
            AppliedOrder::Drain(grant) => Some(grant),
            AppliedOrder::Ramp(..) | AppliedOrder::Orphan => None,
        }
    }
}

/// The orders of a member, as they survive a restart. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedOrders {
    /// Where the log stood that the orders come from.
    pub(super) orders_index: Index,
    pub(super) orders: BTreeMap<BackendId, AppliedOrder>,
}

/// A backend with an order.
#[derive(Clone, Debug)]
pub(super) struct TrackedBackend {
    pub(super) order: AppliedOrder,
    /// When the scheduler was notified.
    pub(super) ordered_at: Time,
    /// As of when the requests in flight are known.
    pub(super) measured_at: Option<Time>,
    /// Whether nothing is in flight, at a time at which nothing new is sent any more.
    pub(super) is_idle: bool,
    /// Whether the report is in the log.
    pub(super) is_reported: bool,
    /// When the report was made last.
    pub(super) reported_at: Option<Time>,
    /// The persisted state from which on it includes this order.
    pub(super) serial: u64,
}

impl TrackedBackend {
    pub(super) fn new(order: AppliedOrder, ordered_at: Time, serial: u64) -> TrackedBackend {
        TrackedBackend {
            order,
            ordered_at,
            measured_at: None,
            is_idle: false,
            is_reported: false,
            reported_at: None,
            serial,
        }
    }
}
