//! The data that a member writes to disk.
use crate::entry::Entry;
use crate::snapshot::Snapshot;
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};

/// The vote that a member granted in its current term. It is given to one incarnation of a member, not to its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The candidate.
    pub candidate: MemberId,
    /// The incarnation of the candidate's store.
    pub incarnation: u64,
}

/// The state that is stored in addition to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The vote granted in this term.
    pub vote: Option<Vote>,
    /// The index up to which the log is known to be committed; may lag behind the actual commit index.
    pub commit: Index,
}

/// One atomic write. It is carried out in the order `truncate_from`, `snapshot`, `append`; `hard_state` replaces the old one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteBatch {
    /// Identifies the batch; ids increase.
    pub id: u64,
    /// The new hard state.
    pub hard_state: HardState,
    /// Entries from this index on are deleted.
    pub truncate_from: Option<Index>,
    /// Replaces the stored snapshot; entries up to its last index are deleted.
    pub snapshot: Option<Snapshot>,
    /// Entries to append.
    pub append: Vec<Entry>,
}
