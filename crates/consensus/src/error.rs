//! Errors that prevent a member from starting.
use cluster_types::{Index, MemberId};

/// An error in the configuration or the stored state. Nothing is guessed or repaired: an operator must investigate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// A member is listed twice, or this member is not listed.
    #[error("each member must be listed exactly once, and this member must be among them")]
    Members,
    /// The intervals and timeouts are inconsistent.
    #[error("the heartbeat interval must be at most half the minimum election timeout, which must be below the maximum")]
    Timeouts,
    /// A limit is zero, or too small compared with another.
    #[error("a limit is zero, or a log limit is too small for the snapshot threshold or the message size")]
    Bounds,
    /// An entry does not follow the one before it.
    #[error("the stored log has entry {} where entry {} was expected", found.0, expected.0)]
    Gap {
        /// The index that was expected.
        expected: Index,
        /// The index that was found.
        found: Index,
    },
    /// The log has entries that the snapshot already contains.
    #[error(
        "the stored log begins with entry {} although the snapshot covers entries up to {}: they do not belong together",
        first.0, snapshot.0
    )]
    Overlap {
        /// The last index of the snapshot.
        snapshot: Index,
        /// The first index of the log.
        first: Index,
    },
    /// The term decreases at this entry.
    #[error("the term in the stored log decreases at entry {}", .0.0)]
    TermDecreases(Index),
    /// The log or the snapshot has a later term than the stored current term.
    #[error("the stored log or snapshot has a later term than the stored current term")]
    TermAhead,
    /// The stored commit index is beyond the end of the log.
    #[error("entry {} is marked as committed but the stored log ends at {}", commit.0, last.0)]
    CommitAhead {
        /// The stored commit index.
        commit: Index,
        /// The last index of the log.
        last: Index,
    },
    /// The log does not begin with a bootstrap entry, or has another one later.
    #[error("the stored log must have a bootstrap entry as its first entry and nowhere else (entry {})", .0.0)]
    Bootstrap(Index),
    /// The log was bootstrapped with members other than the configured ones.
    #[error("the stored log was bootstrapped with members other than the configured ones")]
    OtherMembers,
    /// The vote is for a candidate that is not a member.
    #[error("the stored vote is for {0}, which is not a member")]
    Vote(MemberId),
    /// The snapshot's position in the log is out of range, or it has data but no position.
    #[error("the stored snapshot has no position in the log, or no members")]
    Snapshot,
}
