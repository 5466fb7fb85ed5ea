//! Where ranges are. Persistent: a copy for the front costs nothing and is read without locks.
use cluster_types::{BackendId, BlockRange, Index, Volume};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

/// A range and its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placed {
    /// The blocks.
    pub blocks: BlockRange,
    /// Their box.
    pub on: BackendId,
    /// The command that put them there.
    pub epoch: Index,
}

/// All ranges of all volumes that are under placement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    volumes: OrdMap<Volume, OrdMap<u64, Placed>>,
}

impl Placement {
    /// Whether the volume is under placement.
    pub fn knows(&self, volume: &Volume) -> bool {
        self.volumes.contains_key(volume)
    }

    /// All volumes.
    pub fn volumes(&self) -> impl Iterator<Item = &Volume> {
        self.volumes.keys()
    }

    /// All ranges of a volume, in order.
    pub fn ranges(&self, volume: &Volume) -> Vec<Placed> {
        self.volumes.get(volume).map(|r| r.values().cloned().collect()).unwrap_or_default()
    }

    /// The places of these blocks in order, each cut to them. None where some block has no place.
    pub fn find(&self, volume: &Volume, blocks: BlockRange) -> Option<Vec<Placed>> {
        let ranges = self.volumes.get(volume)?;
        let start = ranges.range(..=blocks.first).next_back().map_or(blocks.first, |(f, _)| *f);
        let mut next = blocks.first;
        let mut found = Vec::new();
        for (_, placed) in ranges.range(start..blocks.end) {
            let cut =
                BlockRange { first: placed.blocks.first.max(next), end: placed.blocks.end.min(blocks.end) };
            if cut.is_empty() {
                continue;
            }
            if cut.first != next {
                return None;
            }
            next = cut.end;
            found.push(Placed { blocks: cut, ..placed.clone() });
        }
        (next == blocks.end && !found.is_empty()).then_some(found)
    }

    /// Whether all of these blocks are on that box.
    pub fn wholly(&self, volume: &Volume, blocks: BlockRange, on: &BackendId) -> bool {
        self.find(volume, blocks).is_some_and(|found| found.iter().all(|p| p.on == *on))
    }

    /// Puts blocks on a box. What was there is cut; neighbours keep their epochs.
    pub fn put(&mut self, volume: &Volume, blocks: BlockRange, on: &BackendId, epoch: Index) {
        if blocks.is_empty() {
            return;
        }
        let mut ranges = self.volumes.get(volume).cloned().unwrap_or_default();
        let hit: Vec<Placed> = ranges.values().filter(|p| p.blocks.overlaps(&blocks)).cloned().collect();
        for old in hit {
            ranges.remove(&old.blocks.first);
            let before = BlockRange { first: old.blocks.first, end: blocks.first };
            let behind = BlockRange { first: blocks.end, end: old.blocks.end };
            for rest in [before, behind] {
                if !rest.is_empty() {
                    ranges.insert(rest.first, Placed { blocks: rest, ..old.clone() });
                }
            }
        }
        ranges.insert(blocks.first, Placed { blocks, on: on.clone(), epoch });
        self.volumes.insert(volume.clone(), ranges);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a block that changes its place with its neighbours, or has two, or none.
        #[test]
        fn each_block_has_the_place_last_given(puts in proptest::collection::vec((0u64..40, 1u64..20, 0u8..4), 1..40), at in 0u64..50, len in 1u64..12) {
            let (volume, mut placement) = (Volume::from("v"), Placement::default());
            let mut model = [0u8; 64];
            placement.put(&volume, BlockRange { first: 0, end: 64 }, &BackendId::from("0"), Index(0));
            for (i, (first, len, on)) in puts.into_iter().enumerate() {
                let blocks = BlockRange { first, end: first + len };
                placement.put(&volume, blocks, &BackendId::from(on.to_string().as_str()), Index(i as u64 + 1));
                model[first as usize..blocks.end as usize].fill(on);
            }
            let found = placement.find(&volume, BlockRange { first: at, end: at + len }).unwrap();
            let flat: Vec<String> = found.iter().flat_map(|p| (p.blocks.first..p.blocks.end).map(|_| p.on.to_string())).collect();
            let wanted: Vec<String> = model[at as usize..(at + len) as usize].iter().map(u8::to_string).collect();
            prop_assert_eq!(flat, wanted);
            let beyond = BlockRange { first: 60, end: 65 };
            prop_assert!(placement.find(&volume, beyond).is_none());
        }
    }
}
