//! The inputs of the agent, passed in by the host.
use crate::order::MemberOrder;
use cluster_types::{BackendId, Index, Time};
use std::collections::BTreeMap;

/// An input of the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The log was applied up to `index`, or the state was restored from a snapshot.
    Orders {
        /// The index of the last applied entry.
        index: Index,
        /// All orders for this member ([`crate::MaintenanceState::orders`]).
        orders: BTreeMap<BackendId, MemberOrder>,
    },
    /// The lease was renewed.
    LeaseRenewed {
        /// When the lease expires. Its duration counts from the time at which the host requested it.
        until: Time,
    },
    /// The scheduler's requests in flight at a backend.
    InFlight {
        /// The backend.
        backend: BackendId,
        /// The number of unfinished requests.
        in_flight: u32,
        /// When the last request was sent.
        last_send: Option<Time>,
        /// The time of the measurement.
        measured_at: Time,
    },
    /// The orders of [`super::Action::Persist`] are on disk. A host without a disk passes this in at once.
    Persisted {
        /// The serial number of the action.
        serial: u64,
    },
    /// The log was bootstrapped again, and its indices start over. Drained backends stay drained.
    LogReplaced,
    /// An operator ends a drain that was ordered by an earlier log.
    ReleaseOrphan {
        /// The backend.
        backend: BackendId,
    },
}
