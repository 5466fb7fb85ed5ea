//! Sets of blocks.
#![allow(clippy::unwrap_used)]
use cluster_types::{BlockRange, Index};
use proptest::prelude::*;
use resharding::block_set::{BlockSet, MAX_RUNS};
use std::collections::BTreeMap;

proptest! {
    /// The set loses no block, and keeps a block that was touched after the index of a removal.
    #[test]
    fn matches_map_model(
        operations in proptest::collection::vec((0u64..64, 1u64..20, 0u64..40, any::<bool>()), 1..60),
    ) {
        let mut set = BlockSet::default();
        let mut model: BTreeMap<u64, u64> = BTreeMap::new();
        for (first, len, touched, is_added) in operations {
            let blocks = BlockRange { first, end: first + len };
            if is_added {
                set.add(blocks, Index(touched));
            } else {
                set.remove(blocks, Index(touched));
            }
            for block in first..first + len {
                let before = model.get(&block).copied();
                match (is_added, before) {
                    (true, before) => {
                        model.insert(block, before.unwrap_or(0).max(touched));
                    }
                    (false, Some(before)) if before <= touched => {
                        model.remove(&block);
                    }
                    _ => {}
                }
            }
            let each = |(blocks, touched): (BlockRange, Index)| {
                (blocks.first..blocks.end).map(move |block| (block, touched.0))
            };
            let flat: BTreeMap<u64, u64> = set.iter().flat_map(each).collect();
            prop_assert_eq!(&flat, &model);
        }
    }
}

/// Above the maximum number of runs, runs are merged and no block is lost.
#[test]
fn merges_runs_beyond_limit() {
    let mut set = BlockSet::default();
    for number in 0..2000u64 {
        let first = number * 10;
        set.add(BlockRange { first, end: first + 1 }, Index(number));
    }
    assert!(set.iter().count() <= MAX_RUNS);
    let contains = |number: u64| {
        let block = number * 10;
        set.iter().any(|(run, touched)| run.first <= block && block < run.end && touched >= Index(number))
    };
    assert!((0..2000u64).all(contains));
}
