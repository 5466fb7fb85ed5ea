//! What is known of boxes and volumes when a plan is checked and ordered.
use crate::placement::Placement;
use cluster_types::{BackendId, BlockRange, Volume, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// A box.
#[derive(Clone, Debug, Default)]
pub struct BoxView {
    /// Its hall.
    pub hall: Zone,
    /// Its addresses and other names.
    pub names: BTreeSet<String>,
    /// How many blocks it can hold of volumes under placement.
    pub room: u64,
    /// How many units a second it can do.
    pub rate: u64,
    /// What is reserved of that for what is not under placement.
    pub held: u64,
}

/// A volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Its size in blocks.
    pub blocks: u64,
    /// What is reserved for it, in units a second; each box carries its part by the blocks that it has.
    pub reserve: u64,
}

/// The present state.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The boxes.
    pub boxes: BTreeMap<BackendId, BoxView>,
    /// The volumes.
    pub volumes: BTreeMap<Volume, VolumeView>,
    /// Where ranges are.
    pub placement: Placement,
}

impl FleetView {
    /// The boxes that a name stands for: by instance id, or by one of its other names.
    pub fn named(&self, name: &str) -> Vec<BackendId> {
        self.boxes
            .iter()
            .filter(|(id, b)| &*id.0 == name || b.names.contains(name))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// What so many blocks of a volume reserve, rounded up.
    pub fn reserve(&self, volume: &Volume, blocks: u64) -> u64 {
        let Some(v) = self.volumes.get(volume) else { return 0 };
        let size = u128::from(v.blocks.max(1));
        u64::try_from((u128::from(v.reserve) * u128::from(blocks)).div_ceil(size)).unwrap_or(u64::MAX)
    }

    /// The hall of a box.
    pub fn hall(&self, on: &BackendId) -> Option<&Zone> {
        self.boxes.get(on).map(|b| &b.hall)
    }

    /// What is on each box now.
    pub fn books(&self) -> Books {
        let mut books = Books::default();
        for volume in self.placement.volumes() {
            for placed in self.placement.ranges(volume) {
                books.put(volume, placed.blocks, &placed.on);
            }
        }
        books
    }
}

/// What each box holds, by volume.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Books {
    held: BTreeMap<BackendId, BTreeMap<Volume, u64>>,
}

impl Books {
    /// Adds blocks.
    pub fn put(&mut self, volume: &Volume, blocks: BlockRange, on: &BackendId) {
        let held = self.held.entry(on.clone()).or_default().entry(volume.clone()).or_default();
        *held = held.saturating_add(blocks.len());
    }

    /// Takes blocks away.
    pub fn take(&mut self, volume: &Volume, blocks: BlockRange, on: &BackendId) {
        if let Some(held) = self.held.get_mut(on).and_then(|h| h.get_mut(volume)) {
            *held = held.saturating_sub(blocks.len());
        }
    }

    /// How many blocks a box holds.
    pub fn blocks(&self, on: &BackendId) -> u64 {
        self.held.get(on).map_or(0, |h| h.values().sum())
    }

    /// What is reserved on a box, with what is not under placement.
    pub fn reserved(&self, view: &FleetView, on: &BackendId) -> u64 {
        let other = view.boxes.get(on).map_or(0, |b| b.held);
        let of = |h: &BTreeMap<Volume, u64>| h.iter().map(|(v, n)| view.reserve(v, *n)).sum::<u64>();
        other.saturating_add(self.held.get(on).map_or(0, of))
    }

    /// Whether a box can hold what it has; if not, why, in plain words.
    pub fn fits(&self, view: &FleetView, on: &BackendId) -> Result<(), String> {
        let Some(b) = view.boxes.get(on) else { return Err(format!("{on} is not known")) };
        let (blocks, reserved) = (self.blocks(on), self.reserved(view, on));
        if blocks > b.room {
            return Err(format!("{on} would hold {blocks} blocks and has room for {}", b.room));
        }
        if reserved > b.rate {
            return Err(format!(
                "{on} would have to keep {reserved} units a second reserved and can do {}",
                b.rate
            ));
        }
        Ok(())
    }

    /// What a box can do beyond its reserves.
    pub fn spare(&self, view: &FleetView, on: &BackendId) -> u64 {
        view.boxes.get(on).map_or(0, |b| b.rate).saturating_sub(self.reserved(view, on))
    }
}
