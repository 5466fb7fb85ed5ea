//! Why a member cannot start.
use cluster_types::{Index, MemberId};

/// A fault of the configuration or of the stored state. Nothing is guessed or repaired: an operator has to look.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The members are not each named once with this one among them.
    #[error("the members must each be named once, and this one must be among them")]
    Members,
    /// The intervals and timeouts contradict each other.
    #[error("two heartbeats must fit into the least election timeout, and that must be below the greatest")]
    Timeouts,
    /// A bound is zero, or too small for another.
    #[error("a bound is zero, or the log's bound is not above the snapshots' or the messages'")]
    Bounds,
    /// An entry does not follow the one before it.
    #[error("the stored log has entry {} where {} is due", found.0, expected.0)]
    Gap {
        /// The index that was due.
        expected: Index,
        /// The index that was found.
        found: Index,
    },
    /// The log has entries that the snapshot already contains.
    #[error(
        "the stored log begins with entry {} though the snapshot goes up to {}: one of them is of another time",
        first.0, snapshot.0
    )]
    Overlap {
        /// The last index of the snapshot.
        snapshot: Index,
        /// The first index of the log.
        first: Index,
    },
    /// The term decreases at this entry.
    #[error("the stored log's term goes back at entry {}", .0.0)]
    TermDecreases(Index),
    /// The log or the snapshot is of a later term than the stored one.
    #[error("the stored log or snapshot is of a later term than the stored term")]
    TermAhead,
    /// More is marked as committed than the log holds.
    #[error("entry {} is marked as committed but the stored log ends at {}", commit.0, last.0)]
    CommitAhead {
        /// The stored commit index.
        commit: Index,
        /// The last index of the log.
        last: Index,
    },
    /// The log does not begin with a bootstrap entry, or has one later.
    #[error("the stored log is not bootstrapped by its first entry alone (entry {})", .0.0)]
    Bootstrap(Index),
    /// The log was bootstrapped by other members than the configured ones.
    #[error("the stored log was bootstrapped by other members than the configured ones")]
    OtherMembers,
    /// The vote is for a candidate that is not a member.
    #[error("the stored vote is for {0}, which is not a member")]
    Vote(MemberId),
    /// The snapshot has data but no position in the log, or the reverse.
    #[error("the stored snapshot has no position in the log, or no members")]
    Snapshot,
}
