//! The commands and written blocks that a fence keeps track of.
use crate::block_set::BlockSet;
use cluster_types::{BlockRange, Index, Time, Volume};

/// A command in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlight {
    pub(super) volume: Volume,
    pub(super) blocks: BlockRange,
    pub(super) epochs: Vec<Index>,
    pub(super) is_write: bool,
    pub(super) sent: Time,
    /// The log index of the member's last revocation when the command was sent.
    pub(super) revocation: Index,
}

/// A write with an unknown result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UnresolvedWrite {
    /// The time until which the write may still run.
    pub(super) until: Time,
    pub(super) volume: Volume,
    pub(super) blocks: BlockRange,
}

/// The blocks that this member wrote during the copy of one migration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct WrittenBlocks {
    pub(super) unreported: BlockSet,
    /// Reported, but the report is not in the log yet.
    pub(super) reported: BlockSet,
    /// The sequence number of the last report.
    pub(super) report: u64,
}
