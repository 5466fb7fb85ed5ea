//! A set of blocks, each with the newest log index at which it was touched. The number of runs is bounded: above the
//! limit the nearest runs are merged, which can only add blocks to the set.
use cluster_types::{BlockRange, Index};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of runs.
pub const MAX_RUNS: usize = 512;

/// The set, as runs of blocks that were touched at the same index. Stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlockSet {
    /// The end of each run and the index at which it was touched, by the first block.
    runs: BTreeMap<u64, (u64, Index)>,
}

impl BlockSet {
    /// A set of one run.
    pub fn of(blocks: BlockRange, touched: Index) -> BlockSet {
        let mut set = BlockSet::default();
        set.add(blocks, touched);
        set
    }

    /// Whether the set has no blocks.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The number of blocks.
    pub fn len(&self) -> u64 {
        self.runs.iter().map(|(first, (end, _))| end.saturating_sub(*first)).sum()
    }

    /// All runs, each with the index at which it was touched.
    pub fn iter(&self) -> impl Iterator<Item = (BlockRange, Index)> + '_ {
        self.runs.iter().map(|(&first, &(end, touched))| (BlockRange { first, end }, touched))
    }

    /// All runs.
    pub fn ranges(&self) -> Vec<BlockRange> {
        self.iter().map(|(blocks, _)| blocks).collect()
    }

    /// The runs that overlap these blocks, clipped to them.
    pub fn within(&self, blocks: BlockRange) -> Vec<(BlockRange, Index)> {
        let overlapping = self.iter().filter(|(run, _)| run.overlaps(&blocks));
        let cut =
            |run: BlockRange| BlockRange { first: run.first.max(blocks.first), end: run.end.min(blocks.end) };
        overlapping.map(|(run, touched)| (cut(run), touched)).collect()
    }

    /// Splits the run that contains a block, so that a run begins at the block.
    fn split_at(&mut self, block: u64) {
        let Some((&first, &(end, touched))) = self.runs.range(..block).next_back() else { return };
        if end > block {
            self.runs.insert(first, (block, touched));
            self.runs.insert(block, (end, touched));
        }
    }

    /// Adds blocks that were touched at an index. Blocks that are in the set already keep the newer index.
    pub fn add(&mut self, blocks: BlockRange, touched: Index) {
        if blocks.is_empty() {
            return;
        }
        self.split_at(blocks.first);
        self.split_at(blocks.end);
        let mut next = blocks.first;
        let inside: Vec<_> =
            self.runs.range(blocks.first..blocks.end).map(|(first, run)| (*first, *run)).collect();
        for (first, (end, before)) in inside {
            if next < first {
                self.runs.insert(next, (first, touched));
            }
            self.runs.insert(first, (end, before.max(touched)));
            next = end;
        }
        if next < blocks.end {
            self.runs.insert(next, (blocks.end, touched));
        }
        self.merge_adjacent(blocks);
    }

    /// Removes those of the blocks that were last touched at `up_to` or before.
    pub fn remove(&mut self, blocks: BlockRange, up_to: Index) {
        if blocks.is_empty() {
            return;
        }
        self.split_at(blocks.first);
        self.split_at(blocks.end);
        let inside = self.runs.range(blocks.first..blocks.end);
        let old = inside.filter(|(_, (_, touched))| *touched <= up_to);
        let old: Vec<u64> = old.map(|(first, _)| *first).collect();
        for first in old {
            self.runs.remove(&first);
        }
        self.merge_adjacent(blocks);
    }

    /// Adds all blocks of another set.
    pub fn merge(&mut self, other: &BlockSet) {
        for (blocks, touched) in other.iter() {
            self.add(blocks, touched);
        }
    }

    /// Merges adjacent runs that were touched at the same index, only within and next to these blocks.
    fn merge_adjacent(&mut self, blocks: BlockRange) {
        let start = self.runs.range(..blocks.first).next_back().map_or(blocks.first, |(first, _)| *first);
        let near = self.runs.range(start..=blocks.end);
        let near: Vec<_> = near.map(|(first, (end, touched))| (*first, *end, *touched)).collect();
        let mut last: Option<(u64, u64, Index)> = None;
        for (first, end, touched) in near {
            match &mut last {
                Some((joined, up_to, index)) if *up_to == first && *index == touched => {
                    self.runs.remove(&first);
                    self.runs.insert(*joined, (end, touched));
                    *up_to = end;
                }
                _ => last = Some((first, end, touched)),
            }
        }
        if self.runs.len() > MAX_RUNS {
            self.merge_nearest_runs();
        }
    }

    /// Merges the runs with the smallest gaps until half of the maximum number are left.
    fn merge_nearest_runs(&mut self) {
        let ends = self.runs.values().map(|(end, _)| *end);
        let pairs = ends.zip(self.runs.keys().skip(1));
        let mut gaps: Vec<(u64, u64)> = pairs.map(|(end, first)| (first - end, *first)).collect();
        gaps.sort_unstable();
        for (_, second) in gaps.into_iter().take(self.runs.len() - MAX_RUNS / 2) {
            let before = self.runs.range(..second).next_back().map(|(first, _)| *first);
            if let (Some(first), Some((end, touched))) = (before, self.runs.remove(&second)) {
                self.runs.entry(first).and_modify(|run| *run = (end, touched.max(run.1)));
            }
        }
    }
}
