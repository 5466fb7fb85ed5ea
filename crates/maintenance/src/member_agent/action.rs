//! The outputs of the agent, for the host to carry out.
use super::tracked::{AppliedOrder, PersistedOrders};
use crate::order::Quota;
use cluster_types::{BackendId, Index};

/// A report of this member for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// All backends of a grant are drained.
    Drained {
        /// The grant.
        grant: Index,
    },
    /// The member has put its quota into effect.
    StageAcknowledged {
        /// The backend.
        backend: BackendId,
        /// The recovery step.
        step: Index,
    },
}

/// An output of the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stop sending new requests to a backend within the drain delay. Repeating the action is harmless.
    Drain {
        /// The backend.
        backend: BackendId,
        /// The grant or recovery step; `None` if the log that ordered the drain no longer exists.
        order: Option<Index>,
    },
    /// Send requests to a backend again.
    Undrain {
        /// The backend.
        backend: BackendId,
        /// How much may be sent.
        quota: Quota,
    },
    /// Propose a report to the log.
    Report(Report),
    /// Persist the orders, so that they are in effect immediately after a restart; then pass in [`super::Event::Persisted`].
    Persist {
        /// The number of this write, in increasing order.
        serial: u64,
        /// The orders to persist.
        orders: PersistedOrders,
    },
}

impl Action {
    /// The action that puts an order into effect.
    pub(super) fn for_order(order: AppliedOrder, backend: &BackendId) -> Action {
        let backend = backend.clone();
        match order {
            AppliedOrder::Ramp(_, permille @ 1..) => {
                Action::Undrain { backend, quota: Quota::Permille(permille) }
            }
            AppliedOrder::Drain(index) | AppliedOrder::Ramp(index, _) => {
                Action::Drain { backend, order: Some(index) }
            }
            AppliedOrder::Orphan => Action::Drain { backend, order: None },
        }
    }
}
