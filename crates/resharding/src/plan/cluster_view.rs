//! The view of backends and volumes for checking plans and ordering their steps.
use crate::placement::Placement;
use cluster_types::{BackendId, BlockRange, Volume, Zone};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A backend.
#[derive(Clone, Debug, Default)]
pub struct BackendView {
    /// Its zone.
    pub zone: Zone,
    /// Its addresses and other names.
    pub names: BTreeSet<String>,
    /// The number of blocks of volumes under placement that it can hold.
    pub capacity_blocks: u64,
    /// Its rate, in units per second.
    pub rate: u64,
    /// The part of the rate that is reserved for volumes that are not under placement, in units per second.
    pub reserved_rate: u64,
}

/// A volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Its size in blocks.
    pub blocks: u64,
    /// The rate reserved for it, in units per second. Each backend reserves a part in proportion to the blocks that it
    /// holds.
    pub reserved_rate: u64,
}

/// The present state of the cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The backends.
    pub backends: BTreeMap<BackendId, BackendView>,
    /// The volumes.
    pub volumes: BTreeMap<Volume, VolumeView>,
    /// The backend of each range.
    pub placement: Placement,
}

impl ClusterView {
    /// The backends with this name, as their id or as one of their other names.
    pub fn backends_named(&self, name: &str) -> Vec<BackendId> {
        let named = self.backends.iter().filter(|(id, view)| &*id.0 == name || view.names.contains(name));
        named.map(|(id, _)| id.clone()).collect()
    }

    /// The rate reserved for this many blocks of a volume, in units per second, rounded up.
    pub fn reserved_rate(&self, volume: &Volume, blocks: u64) -> u64 {
        let Some(view) = self.volumes.get(volume) else { return 0 };
        let size = u128::from(view.blocks.max(1));
        let reserved = (u128::from(view.reserved_rate) * u128::from(blocks)).div_ceil(size);
        u64::try_from(reserved).unwrap_or(u64::MAX)
    }

    /// The zone of a backend.
    pub fn zone(&self, backend: &BackendId) -> Option<&Zone> {
        self.backends.get(backend).map(|view| &view.zone)
    }

    /// The present occupancy of each backend.
    pub fn occupancy(&self) -> Occupancy {
        let mut occupancy = Occupancy::default();
        for volume in self.placement.volumes() {
            for placed in self.placement.ranges(volume) {
                occupancy.add(volume, placed.blocks, &placed.backend);
            }
        }
        occupancy
    }
}

/// Why blocks do not fit on a backend.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CapacityError {
    /// The backend is not known.
    #[error("{0} is not known")]
    UnknownBackend(BackendId),
    /// It would hold more blocks than its capacity.
    #[error("{backend} would hold {blocks} blocks and has room for {capacity}")]
    Blocks {
        /// The backend.
        backend: BackendId,
        /// How many blocks it would hold.
        blocks: u64,
        /// Its capacity in blocks.
        capacity: u64,
    },
    /// The rate reserved on it would exceed its rate.
    #[error("{backend} would have to keep {reserved} units a second reserved and can do {rate}")]
    Rate {
        /// The backend.
        backend: BackendId,
        /// The rate that would be reserved, in units per second.
        reserved: u64,
        /// Its rate, in units per second.
        rate: u64,
    },
}

/// The number of blocks of each volume on each backend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    blocks: BTreeMap<BackendId, BTreeMap<Volume, u64>>,
}

impl Occupancy {
    /// Adds blocks to a backend.
    pub fn add(&mut self, volume: &Volume, blocks: BlockRange, backend: &BackendId) {
        let volumes = self.blocks.entry(backend.clone()).or_default();
        let held = volumes.entry(volume.clone()).or_default();
        *held = held.saturating_add(blocks.len());
    }

    /// Removes blocks from a backend.
    pub fn remove(&mut self, volume: &Volume, blocks: BlockRange, backend: &BackendId) {
        let volumes = self.blocks.get_mut(backend);
        if let Some(held) = volumes.and_then(|volumes| volumes.get_mut(volume)) {
            *held = held.saturating_sub(blocks.len());
        }
    }

    /// The number of blocks on a backend.
    pub fn blocks(&self, backend: &BackendId) -> u64 {
        self.blocks.get(backend).map_or(0, |volumes| volumes.values().sum())
    }

    /// The rate reserved on a backend, in units per second, including volumes that are not under placement.
    pub fn reserved_rate(&self, view: &ClusterView, backend: &BackendId) -> u64 {
        let other = view.backends.get(backend).map_or(0, |known| known.reserved_rate);
        let sum = |volumes: &BTreeMap<Volume, u64>| {
            volumes.iter().map(|(volume, blocks)| view.reserved_rate(volume, *blocks)).sum::<u64>()
        };
        other.saturating_add(self.blocks.get(backend).map_or(0, sum))
    }

    /// Checks that a backend does not exceed its capacity or rate.
    ///
    /// # Errors
    ///
    /// Returns what is exceeded.
    pub fn check(&self, view: &ClusterView, backend: &BackendId) -> Result<(), CapacityError> {
        let known = view.backends.get(backend);
        let known = known.ok_or_else(|| CapacityError::UnknownBackend(backend.clone()))?;
        let (blocks, reserved) = (self.blocks(backend), self.reserved_rate(view, backend));
        if blocks > known.capacity_blocks {
            let capacity = known.capacity_blocks;
            return Err(CapacityError::Blocks { backend: backend.clone(), blocks, capacity });
        }
        if reserved > known.rate {
            return Err(CapacityError::Rate { backend: backend.clone(), reserved, rate: known.rate });
        }
        Ok(())
    }

    /// The rate of a backend beyond its reservations, in units per second.
    pub fn spare_rate(&self, view: &ClusterView, backend: &BackendId) -> u64 {
        let rate = view.backends.get(backend).map_or(0, |known| known.rate);
        rate.saturating_sub(self.reserved_rate(view, backend))
    }
}
