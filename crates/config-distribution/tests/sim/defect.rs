//! Defects that a run has on purpose, to show that the invariants detect them.

/// What a run does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Hosts apply a value again that was replaced before.
    OldValue,
    /// Relays lose a change now and then, and send no checksums.
    LostChangeWithoutChecksum,
    /// Relays lose a change now and then. Checksums find it: the end state has to be exact all the same.
    LostChange,
    /// Hosts apply half of a batch.
    PartialBatch,
    /// Hosts acknowledge first, and apply 8 s later.
    EarlyAcknowledgement,
}
