//! What the host tells the agent.
use crate::order::MemberOrder;
use cluster_types::{BackendId, Index, Time};
use std::collections::BTreeMap;

/// An input of the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The log was applied up to `index`, or restored.
    Orders {
        /// Where the log stands.
        index: Index,
        /// All orders for this member ([`crate::MaintenanceState::orders`]).
        orders: BTreeMap<BackendId, MemberOrder>,
    },
    /// The lease was renewed.
    LeaseRenewed {
        /// When it ends, counted from when the host asked for it.
        until: Time,
    },
    /// What the scheduler has in flight at a backend.
    InFlight {
        /// The backend.
        backend: BackendId,
        /// The number of unfinished requests.
        in_flight: u32,
        /// When the last request was sent.
        last_send: Option<Time>,
        /// As of when.
        measured_at: Time,
    },
    /// The orders of [`super::Action::Persist`] are on the disk; a host without one says so at once.
    Persisted {
        /// The serial of the action.
        serial: u64,
    },
    /// The log was bootstrapped again and its indices begin again. What was drained stays so.
    LogReplaced,
    /// An operator ends a drain that the present log knows nothing of.
    ReleaseOrphan {
        /// The backend.
        backend: BackendId,
    },
}
