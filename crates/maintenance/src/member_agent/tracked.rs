//! The orders in effect at a member, and the part of them that survives a restart.
use cluster_types::{BackendId, Index, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The order in effect for a backend. Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum AppliedOrder {
    /// The backend is drained for this grant.
    Drain(Index),
    /// The backend recovers: the recovery step, and the quota in thousandths of the cold budget.
    Ramp(Index, u16),
    /// The backend was drained by a log that no longer exists. Only an operator, or an order of the current log, ends the
    /// drain.
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

/// The orders of a member that survive a restart. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedOrders {
    /// The log index of the orders.
    pub(super) orders_index: Index,
    pub(super) orders: BTreeMap<BackendId, AppliedOrder>,
}

/// A backend with an order, and the progress of carrying it out.
#[derive(Clone, Debug)]
pub(super) struct TrackedBackend {
    pub(super) order: AppliedOrder,
    /// When the scheduler was notified.
    pub(super) ordered_at: Time,
    /// The time of the latest measurement of the requests in flight.
    pub(super) measured_at: Option<Time>,
    /// Whether no request was in flight after the end of the drain delay.
    pub(super) is_idle: bool,
    /// Whether the report is in the log.
    pub(super) is_reported: bool,
    /// When the report was last sent.
    pub(super) reported_at: Option<Time>,
    /// The serial number of the first persisted state that includes this order.
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
