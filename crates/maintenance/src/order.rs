//! What the replicated state orders a member to do with a backend.
use cluster_types::Index;

/// The order for one backend at one member. A backend without an order is used like any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberOrder {
    /// Send no new requests.
    Drain {
        /// The grant.
        grant: Index,
        /// Whether the member's report is already in the log.
        is_reported: bool,
    },
    /// Keep to a quota of the backend's cold budget; with a quota of 0 the backend stays drained.
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
    /// This many thousandths of the backend's cold budget.
    Permille(u16),
    /// Without a limit from maintenance.
    Full,
}
