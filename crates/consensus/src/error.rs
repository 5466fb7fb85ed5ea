//! Why a node can't start.
use cluster_types::{Index, MemberId};
use std::fmt;

/// What is wrong with the settings or with what was read from disk. Nothing is guessed: an operator has to look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The members are not each named once with this one among them.
    Members,
    /// The times don't fit each other.
    Times,
    /// A bound is nothing, or too small for another.
    Bounds,
    /// An entry does not follow the one before it.
    Gap {
        /// The entry that was due.
        due: Index,
        /// The one that was there.
        found: Index,
    },
    /// The log has entries that the snapshot already holds.
    Overlap {
        /// The snapshot's last entry.
        snapshot: Index,
        /// The log's first.
        first: Index,
    },
    /// The term goes back at this entry.
    TermBack(Index),
    /// The log, the snapshot or the vote is of a later term than the stored one.
    TermAhead,
    /// More is marked as committed than the log holds.
    CommitAhead {
        /// What is marked.
        commit: Index,
        /// What the log holds.
        last: Index,
    },
    /// The log does not begin with a founding, or has one later.
    Founding(Index),
    /// The log was founded by other members than the configured ones.
    Others,
    /// The vote is for one who is no member.
    Vote(MemberId),
    /// The snapshot has data but no place in the log, or the reverse.
    Snapshot,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Members => write!(f, "the members must each be named once, and this one must be among them"),
            Fault::Times => write!(f, "two heartbeats must fit into the least election time, and that must be below the greatest"),
            Fault::Bounds => write!(f, "a bound is zero, or the log's bound is not above the snapshots' or the messages'"),
            Fault::Gap { due, found } => write!(f, "the stored log has entry {} where {} is due", found.0, due.0),
            Fault::Overlap { snapshot, first } => write!(
                f,
                "the stored log begins with entry {} though the snapshot goes up to {}: one of them is of another time",
                first.0, snapshot.0
            ),
            Fault::TermBack(index) => write!(f, "the stored log's term goes back at entry {}", index.0),
            Fault::TermAhead => write!(f, "the stored log or snapshot is of a later term than the stored term"),
            Fault::CommitAhead { commit, last } => {
                write!(f, "entry {} is marked as committed but the stored log ends at {}", commit.0, last.0)
            }
            Fault::Founding(index) => write!(f, "the stored log is not founded by its first entry alone (entry {})", index.0),
            Fault::Others => write!(f, "the stored log was founded by other members than the configured ones"),
            Fault::Vote(member) => write!(f, "the stored vote is for {member}, who is no member"),
            Fault::Snapshot => write!(f, "the stored snapshot has no place in the log, or no members"),
        }
    }
}

impl std::error::Error for Fault {}
