//! Ranges of a volume's blocks.
use serde::{Deserialize, Serialize};
use std::fmt;

/// The blocks of a volume from `first` up to, but not including, `end`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockRange {
    /// The first block.
    pub first: u64,
    /// The block after the last one.
    pub end: u64,
}

impl BlockRange {
    /// The number of blocks.
    pub fn len(&self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range has no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a block is in both ranges.
    pub fn overlaps(&self, other: &BlockRange) -> bool {
        self.first < other.end && other.first < self.end
    }
}

impl fmt::Display for BlockRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}
