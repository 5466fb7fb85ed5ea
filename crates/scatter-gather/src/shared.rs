//! What all gathers of a process share.
use crate::memory::MemoryBudget;
use crate::zone_tracker::ZoneTracker;

/// What all gathers of a process share.
#[derive(Debug)]
pub struct Shared {
    /// The health of the zones.
    pub zones: ZoneTracker,
    /// The bound on memory.
    pub budget: MemoryBudget,
    /// Counters since the start.
    pub counters: Counters,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Gathers that were started.
    pub started: u64,
    /// Complete answers.
    pub complete: u64,
    /// Partial answers.
    pub partial: u64,
    /// Gathers that failed.
    pub failed: u64,
    /// Gathers whose client left before the answer.
    pub client_left: u64,
    /// Gathers that were rejected because too many were open.
    pub rejected: u64,
    /// Gathers that were woken after their deadline.
    pub overdue: u64,
    /// Responses that arrived after the answer.
    pub late_responses: u64,
    /// Responses that were not awaited.
    pub unexpected_responses: u64,
    /// Requests that were not sent because their zone is ejected.
    pub not_sent: u64,
    /// Gathers that probed a zone, by zone.
    pub probes: u64,
    /// Responses too large for the limit of the gather or of all.
    pub too_large: u64,
    /// Requests that were not sent because other gathers hold the memory.
    pub out_of_memory: u64,
}
