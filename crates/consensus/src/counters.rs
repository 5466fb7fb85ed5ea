//! What was refused, by its reason.

/// How often something was refused or ignored; none of it changed the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// From one who is no member, or in this member's name.
    pub foreign: u64,
    /// Votes and acknowledgements under a life that the log has not admitted.
    pub unadmitted: u64,
    /// Of an earlier term, or an answer to a question no longer asked.
    pub stale: u64,
    /// What no well-behaved member says.
    pub malformed: u64,
    /// Refused because a table, the log or the queue to the disk was at its bound.
    pub full: u64,
    /// Votes refused because a leader's lease may hold.
    pub leased: u64,
    /// Not promised because the disk had failed.
    pub disk: u64,
    /// Answers of the disk about batches that are not waiting.
    pub unknown: u64,
}
