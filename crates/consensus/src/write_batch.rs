//! What a member writes to disk.
use crate::entry::Entry;
use crate::snapshot::Snapshot;
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};

/// The vote that a member gave in its current term. It is given to one incarnation of a member, not to its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The candidate.
    pub candidate: MemberId,
    /// The incarnation of the candidate's store.
    pub incarnation: u64,
}

/// What is stored beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The vote given in this term.
    pub vote: Option<Vote>,
    /// The index up to which the log is known to be committed; may lag behind.
    pub commit: Index,
}

/// One atomic write. It is carried out in the order `truncate_from`, `snapshot`, `append`; `hard_state` replaces the old one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteBatch {
    /// Identifies the batch; ids grow.
    pub id: u64,
    /// The new hard state.
    pub hard_state: HardState,
    /// Entries from this index on are deleted.
    pub truncate_from: Option<Index>,
    /// Replaces the stored snapshot; entries up to its last index are deleted.
    pub snapshot: Option<Snapshot>,
    /// Entries to add.
    pub append: Vec<Entry>,
}
