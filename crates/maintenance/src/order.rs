//! Orders of the replicated state to a member, one for each backend under maintenance.
use cluster_types::Index;

/// An order to one member for one backend. A backend without an order is used without restrictions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberOrder {
    /// Send no new requests to the backend.
    Drain {
        /// The grant.
        grant: Index,
        /// Whether the member's report is already in the log.
        is_reported: bool,
    },
    /// Limit requests to a quota of the backend's cold budget; with a quota of 0 the backend stays drained.
    Ramp {
        /// The recovery step.
        step: Index,
        /// The quota, in thousandths of the cold budget.
        permille: u16,
        /// Whether the member's report is already in the log.
        is_reported: bool,
    },
}

/// How much a member may send to a backend that is not drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quota {
    /// A quota in thousandths of the backend's cold budget.
    Permille(u16),
    /// No limit by maintenance.
    Full,
}
