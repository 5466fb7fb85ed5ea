//! What the agent has the host do.
use super::tracked::{AppliedOrder, PersistedOrders};
use crate::order::Quota;
use cluster_types::{BackendId, Index};

/// A report of this member, to be proposed to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// All backends of a grant are drained.
    Drained {
        /// The grant.
        grant: Index,
    },
    /// The member keeps to its quota.
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
    /// Send nothing new to a backend, from the drain delay on. Repeating it does no harm.
    Drain {
        /// The backend.
        backend: BackendId,
        /// The grant or recovery step; none where only an operator ends the drain.
        order: Option<Index>,
    },
    /// Send to a backend again.
    Undrain {
        /// The backend.
        backend: BackendId,
        /// How much.
        quota: Quota,
    },
    /// Propose a report to the log.
    Report(Report),
    /// Persist the orders, so that they hold from the first moment after a restart; then report [`super::Event::Persisted`].
    Persist {
        /// Numbers these actions.
        serial: u64,
        /// What to persist.
        orders: PersistedOrders,
    },
}

impl Action {
    /// What the scheduler has to do to follow an order.
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
