//! Defects that are injected to show that the invariants detect them.

/// An injected defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Hosts apply an old value of a key again.
    OldValue,
    /// Relays occasionally lose a change, and send no checksums.
    LostChangeWithoutChecksum,
    /// Relays occasionally lose a change. Checksums detect it, so the final state must still be exact.
    LostChange,
    /// Hosts apply only half of the changes.
    PartialBatch,
    /// Hosts acknowledge values first, and apply them 8 s later.
    EarlyAcknowledgement,
}
