//! The placement of ranges on backends. The map is an immutable (persistent) data structure: readers get a cheap clone
//! and need no locks.
use cluster_types::{BackendId, BlockRange, Index, Volume};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

/// A range and its backend. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacedRange {
    /// The blocks.
    pub blocks: BlockRange,
    /// Their backend.
    pub backend: BackendId,
    /// The log index of the command that placed them.
    pub epoch: Index,
}

/// All ranges of all volumes that are under placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The ranges of each volume, by first block.
    volumes: OrdMap<Volume, OrdMap<u64, PlacedRange>>,
}

impl Placement {
    /// Whether the volume is under placement.
    pub fn contains(&self, volume: &Volume) -> bool {
        self.volumes.contains_key(volume)
    }

    /// All volumes.
    pub fn volumes(&self) -> impl Iterator<Item = &Volume> {
        self.volumes.keys()
    }

    /// All ranges of a volume, in order.
    pub fn ranges(&self, volume: &Volume) -> Vec<PlacedRange> {
        self.volumes.get(volume).map(|ranges| ranges.values().cloned().collect()).unwrap_or_default()
    }

    /// The ranges that cover these blocks, in order and clipped to them. None if some block is not placed.
    pub fn lookup(&self, volume: &Volume, blocks: BlockRange) -> Option<Vec<PlacedRange>> {
        let ranges = self.volumes.get(volume)?;
        let start = ranges.range(..=blocks.first).next_back().map_or(blocks.first, |(first, _)| *first);
        let mut next = blocks.first;
        let mut found = Vec::new();
        for (_, placed) in ranges.range(start..blocks.end) {
            let first = placed.blocks.first.max(next);
            let cut = BlockRange { first, end: placed.blocks.end.min(blocks.end) };
            if cut.is_empty() {
                continue;
            }
            if cut.first != next {
                return None;
            }
            next = cut.end;
            found.push(PlacedRange { blocks: cut, ..placed.clone() });
        }
        if next == blocks.end && !found.is_empty() {
            Some(found)
        } else {
            None
        }
    }

    /// Whether all of these blocks are on one backend.
    pub fn is_on(&self, volume: &Volume, blocks: BlockRange, backend: &BackendId) -> bool {
        self.lookup(volume, blocks).is_some_and(|found| found.iter().all(|placed| placed.backend == *backend))
    }

    /// Places blocks on a backend. Overlapping ranges are clipped, and what remains of them keeps its epoch.
    pub fn place(&mut self, volume: &Volume, blocks: BlockRange, backend: &BackendId, epoch: Index) {
        if blocks.is_empty() {
            return;
        }
        let mut ranges = self.volumes.get(volume).cloned().unwrap_or_default();
        let overlapping = ranges.values().filter(|placed| placed.blocks.overlaps(&blocks));
        let overlapping: Vec<PlacedRange> = overlapping.cloned().collect();
        for old in overlapping {
            ranges.remove(&old.blocks.first);
            let before = BlockRange { first: old.blocks.first, end: blocks.first };
            let after = BlockRange { first: blocks.end, end: old.blocks.end };
            for rest in [before, after] {
                if !rest.is_empty() {
                    ranges.insert(rest.first, PlacedRange { blocks: rest, ..old.clone() });
                }
            }
        }
        ranges.insert(blocks.first, PlacedRange { blocks, backend: backend.clone(), epoch });
        self.volumes.insert(volume.clone(), ranges);
    }
}
