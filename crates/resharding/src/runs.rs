//! Sets of blocks as runs, each with the newest position at which it was touched. Bounded: when there are too many
//! runs, near ones become one, which only makes the set larger.
use cluster_types::{BlockRange, Index};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many runs are held apart.
pub const RUNS: usize = 512;

/// The runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Runs {
    runs: BTreeMap<u64, (u64, Index)>,
}

impl Runs {
    /// One run.
    pub fn of(blocks: BlockRange, at: Index) -> Runs {
        let mut runs = Runs::default();
        runs.add(blocks, at);
        runs
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// How many blocks.
    pub fn len(&self) -> u64 {
        self.runs.iter().map(|(first, (end, _))| end.saturating_sub(*first)).sum()
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (BlockRange, Index)> + '_ {
        self.runs.iter().map(|(&first, &(end, at))| (BlockRange { first, end }, at))
    }

    /// The runs without their positions.
    pub fn blocks(&self) -> Vec<BlockRange> {
        self.iter().map(|(b, _)| b).collect()
    }

    /// What is in it of these blocks.
    pub fn within(&self, blocks: BlockRange) -> Vec<(BlockRange, Index)> {
        self.iter()
            .filter(|(b, _)| b.overlaps(&blocks))
            .map(|(b, at)| (BlockRange { first: b.first.max(blocks.first), end: b.end.min(blocks.end) }, at))
            .collect()
    }

    fn cut(&mut self, at: u64) {
        let found = self.runs.range(..at).next_back().map(|(f, r)| (*f, *r));
        if let Some((first, (end, index))) = found {
            if end > at {
                self.runs.insert(first, (at, index));
                self.runs.insert(at, (end, index));
            }
        }
    }

    /// Takes blocks in at that position; what was in it keeps the newer one.
    pub fn add(&mut self, blocks: BlockRange, at: Index) {
        if blocks.is_empty() {
            return;
        }
        self.cut(blocks.first);
        self.cut(blocks.end);
        let mut next = blocks.first;
        let inside: Vec<_> = self.runs.range(blocks.first..blocks.end).map(|(f, r)| (*f, *r)).collect();
        for (first, (end, index)) in inside {
            if next < first {
                self.runs.insert(next, (first, at));
            }
            self.runs.insert(first, (end, index.max(at)));
            next = end;
        }
        if next < blocks.end {
            self.runs.insert(next, (blocks.end, at));
        }
        self.join(blocks);
    }

    /// Takes out of these blocks what was last touched at that position or before.
    pub fn remove(&mut self, blocks: BlockRange, upto: Index) {
        if blocks.is_empty() {
            return;
        }
        self.cut(blocks.first);
        self.cut(blocks.end);
        let inside: Vec<u64> =
            self.runs.range(blocks.first..blocks.end).filter(|(_, r)| r.1 <= upto).map(|(f, _)| *f).collect();
        for first in inside {
            self.runs.remove(&first);
        }
        self.join(blocks);
    }

    /// Takes all of another set in.
    pub fn merge(&mut self, other: &Runs) {
        for (blocks, at) in other.iter() {
            self.add(blocks, at);
        }
    }

    /// Joins what touches and was touched at the same position, near these blocks only.
    fn join(&mut self, near: BlockRange) {
        let start = self.runs.range(..near.first).next_back().map_or(near.first, |(first, _)| *first);
        let mut last: Option<(u64, u64, Index)> = None;
        let inside: Vec<_> = self.runs.range(start..=near.end).map(|(f, (e, at))| (*f, *e, *at)).collect();
        for (first, end, at) in inside {
            match &mut last {
                Some((before, upto, index)) if *upto == first && *index == at => {
                    self.runs.remove(&first);
                    self.runs.insert(*before, (end, at));
                    *upto = end;
                }
                _ => last = Some((first, end, at)),
            }
        }
        if self.runs.len() > RUNS {
            self.thin();
        }
    }

    /// Makes one of those that are nearest to each other, until half are left.
    fn thin(&mut self) {
        let ends = self.runs.values().map(|(end, _)| *end);
        let mut gaps: Vec<(u64, u64)> =
            ends.zip(self.runs.keys().skip(1)).map(|(e, f)| (f - e, *f)).collect();
        gaps.sort_unstable();
        for (_, second) in gaps.into_iter().take(self.runs.len() - RUNS / 2) {
            let before = self.runs.range(..second).next_back().map(|(first, _)| *first);
            if let (Some(first), Some((end, at))) = (before, self.runs.remove(&second)) {
                self.runs.entry(first).and_modify(|r| *r = (end, at.max(r.1)));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a block lost from the set, or cleared by a copy that began before it was written again.
        #[test]
        fn is_a_set_with_positions(ops in proptest::collection::vec((0u64..64, 1u64..20, 0u64..40, any::<bool>()), 1..60)) {
            let mut runs = Runs::default();
            let mut model: BTreeMap<u64, u64> = BTreeMap::new();
            for (first, len, at, add) in ops {
                let blocks = BlockRange { first, end: first + len };
                if add { runs.add(blocks, Index(at)) } else { runs.remove(blocks, Index(at)) }
                for b in first..first + len {
                    let old = model.get(&b).copied();
                    match (add, old) {
                        (true, old) => { model.insert(b, old.unwrap_or(0).max(at)); }
                        (false, Some(o)) if o <= at => { model.remove(&b); }
                        _ => {}
                    }
                }
                let flat: BTreeMap<u64, u64> =
                    runs.iter().flat_map(|(b, i)| (b.first..b.end).map(move |x| (x, i.0))).collect();
                prop_assert_eq!(&flat, &model);
            }
        }
    }

    /// Guards against a table without bound: it stays small and loses nothing.
    #[test]
    fn stays_bounded() {
        let mut runs = Runs::default();
        for i in 0..2000u64 {
            runs.add(BlockRange { first: i * 10, end: i * 10 + 1 }, Index(i));
        }
        assert!(runs.iter().count() <= RUNS);
        assert!((0..2000u64)
            .all(|i| runs.iter().any(|(b, at)| b.first <= i * 10 && i * 10 < b.end && at >= Index(i))));
    }
}
