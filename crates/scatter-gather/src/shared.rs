//! The state shared by all gathers of a process.
use crate::memory::MemoryBudget;
use crate::zone_tracker::ZoneTracker;

/// The state shared by all gathers of a process.
#[derive(Debug)]
pub struct SharedState {
    /// The health of the zones.
    pub zones: ZoneTracker,
    /// The memory limit.
    pub budget: MemoryBudget,
    /// Counters since process start.
    pub counters: Counters,
}

/// Counters since process start.
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
    /// Gathers whose client disconnected before the answer.
    pub client_left: u64,
    /// Gathers that were rejected because too many were open.
    pub rejected: u64,
    /// Gathers that received an event only after their deadline, before they had ended.
    pub overdue: u64,
    /// Values that arrived after the gather had ended.
    pub late_responses: u64,
    /// Responses without a pending request.
    pub unexpected_responses: u64,
    /// Requests that were not sent because their zone is ejected.
    pub not_sent: u64,
    /// Probes; a gather that probes several zones counts once for each.
    pub probes: u64,
    /// Responses, or requests because of their limit, that were too large for the request, the gather or the memory budget.
    pub too_large: u64,
    /// Requests that were not sent because the memory budget was exhausted.
    pub out_of_memory: u64,
}
