//! The placement of ranges on backends.
#![allow(clippy::unwrap_used)]
use cluster_types::{BackendId, BlockRange, Index, Volume};
use proptest::prelude::*;
use resharding::Placement;

proptest! {
    /// Placing a range moves no other block, and each block has exactly one backend.
    #[test]
    fn lookup_returns_last_placement_of_each_block(
        placed in proptest::collection::vec((0u64..40, 1u64..20, 0u8..4), 1..40),
        first in 0u64..50,
        len in 1u64..12,
    ) {
        let (volume, mut placement) = (Volume::from("v"), Placement::default());
        let mut model = [0u8; 64];
        placement.place(&volume, BlockRange { first: 0, end: 64 }, &BackendId::from("0"), Index(0));
        for (number, (first, len, backend)) in placed.into_iter().enumerate() {
            let blocks = BlockRange { first, end: first + len };
            let id = BackendId::from(backend.to_string().as_str());
            placement.place(&volume, blocks, &id, Index(number as u64 + 1));
            model[first as usize..blocks.end as usize].fill(backend);
        }
        let found = placement.lookup(&volume, BlockRange { first, end: first + len }).unwrap();
        let each = found.iter().flat_map(|range| (range.blocks.first..range.blocks.end).map(|_| range.backend.to_string()));
        let wanted = model[first as usize..(first + len) as usize].iter().map(u8::to_string);
        prop_assert_eq!(each.collect::<Vec<String>>(), wanted.collect::<Vec<String>>());
        let beyond = BlockRange { first: 60, end: 65 };
        prop_assert!(placement.lookup(&volume, beyond).is_none());
    }
}
