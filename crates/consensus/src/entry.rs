//! The entries of the log.
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The incarnation of each member's store.
pub type Incarnations = BTreeMap<MemberId, u64>;

/// Terms and indices at or above this bound are rejected, so that additions to them cannot overflow.
pub(crate) const TERM_AND_INDEX_BOUND: u64 = u64::MAX / 2;

/// Memory that an entry takes in addition to its payload, in bytes.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Memory that one member takes in a bootstrap entry, in bytes.
const MEMBER_BYTES: usize = 32;

/// A position in a log. Ordered by term, then index: of two logs, the one with the greater last position is more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the entry.
    pub term: u64,
    /// The index of the entry; 0 is the position before the first entry.
    pub index: u64,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a log: all members and the incarnations of their stores.
    Bootstrap(Incarnations),
    /// The first entry of a leader in its term.
    Noop,
    /// The store of a member was lost; from this entry on, its new incarnation counts.
    Readmit {
        /// The member.
        member: MemberId,
        /// The new incarnation of its store.
        incarnation: u64,
    },
    /// Bytes that a host proposed.
    Data(Arc<[u8]>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The index of the entry.
    pub index: Index,
    /// The term of the leader that created it.
    pub term: u64,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// The approximate memory that the entry takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::Data(data) => data.len(),
                Payload::Bootstrap(incarnations) => incarnations.len() * MEMBER_BYTES,
                Payload::Noop | Payload::Readmit { .. } => 0,
            }
    }

    pub(crate) fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index.0 }
    }
}
