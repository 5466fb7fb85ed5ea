//! Counters of rejected and ignored input.

/// How often input was rejected or ignored, by reason. None of it changed the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages of a sender that is not a member, or in this member's own name.
    pub unknown_sender: u64,
    /// Votes and acknowledgements under an incarnation that the log has not admitted.
    pub unadmitted_incarnation: u64,
    /// Messages of an earlier term, or answers to a request that is no longer pending.
    pub stale: u64,
    /// Messages and reports that no correct member or host sends.
    pub malformed: u64,
    /// Input rejected because a table, the log or the write queue was at its bound.
    pub over_capacity: u64,
    /// Votes refused because a leader may hold a lease.
    pub lease_active: u64,
    /// Promises that were not made because the storage had failed.
    pub storage_failed: u64,
    /// Reports of the storage about batches that are not pending.
    pub unknown_batch: u64,
}
