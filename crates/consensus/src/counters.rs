//! Counters of rejected and ignored input.

/// How often input was rejected or ignored, by reason. None of it changed the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages from a sender that is not a member, or that claim to come from this member itself.
    pub unknown_sender: u64,
    /// Votes and acknowledgements under an incarnation that the log has not admitted.
    pub unadmitted_incarnation: u64,
    /// Messages of an earlier term, or that do not fit this member's current state, such as answers to a request that is no
    /// longer pending.
    pub stale: u64,
    /// Messages and events that no correct member or host sends.
    pub malformed: u64,
    /// Input rejected because a queue or the log was full.
    pub over_capacity: u64,
    /// Votes refused because a leader may hold a lease.
    pub lease_active: u64,
    /// Votes and other messages withheld because the storage had failed.
    pub storage_failed: u64,
    /// Storage events for batches that are not pending, or for a recovery without a failure.
    pub unknown_batch: u64,
}
