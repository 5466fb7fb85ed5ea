//! What is known of backends and volumes when a plan is checked and its steps are ordered.
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
    /// How many blocks of volumes under placement it can hold.
    pub capacity_blocks: u64,
    /// What it can do, in units a second.
    pub rate: u64,
    /// What is reserved of that for what is not under placement, in units a second.
    pub reserved_rate: u64,
}

/// A volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Its size in blocks.
    pub blocks: u64,
    /// What is reserved for it, in units a second; each backend carries its part by the blocks that it has.
    pub reserved_rate: u64,
}

/// The present state of the cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The backends.
    pub backends: BTreeMap<BackendId, BackendView>,
    /// The volumes.
    pub volumes: BTreeMap<Volume, VolumeView>,
    /// Where ranges are.
    pub placement: Placement,
}

impl ClusterView {
    /// The backends that a name stands for: by id, or by one of their other names.
    pub fn backends_named(&self, name: &str) -> Vec<BackendId> {
        let named = self.backends.iter().filter(|(id, view)| &*id.0 == name || view.names.contains(name));
        named.map(|(id, _)| id.clone()).collect()
    }

    /// What so many blocks of a volume reserve, in units a second, rounded up.
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

    /// What each backend has now.
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

/// Why a backend can't hold what it would have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CapacityError {
    /// The backend is not known.
    #[error("{0} is not known")]
    UnknownBackend(BackendId),
    /// It would have more blocks than it can hold.
    #[error("{backend} would hold {blocks} blocks and has room for {capacity}")]
    Blocks {
        /// The backend.
        backend: BackendId,
        /// How many blocks it would have.
        blocks: u64,
        /// How many it can hold.
        capacity: u64,
    },
    /// More would be reserved on it than it can do.
    #[error("{backend} would have to keep {reserved} units a second reserved and can do {rate}")]
    Rate {
        /// The backend.
        backend: BackendId,
        /// What would be reserved, in units a second.
        reserved: u64,
        /// What it can do, in units a second.
        rate: u64,
    },
}

/// How many blocks of each volume each backend has.
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

    /// How many blocks a backend has.
    pub fn blocks(&self, backend: &BackendId) -> u64 {
        self.blocks.get(backend).map_or(0, |volumes| volumes.values().sum())
    }

    /// What is reserved on a backend, in units a second, with what is not under placement.
    pub fn reserved_rate(&self, view: &ClusterView, backend: &BackendId) -> u64 {
        let other = view.backends.get(backend).map_or(0, |known| known.reserved_rate);
        let sum = |volumes: &BTreeMap<Volume, u64>| {
            volumes.iter().map(|(volume, blocks)| view.reserved_rate(volume, *blocks)).sum::<u64>()
        };
        other.saturating_add(self.blocks.get(backend).map_or(0, sum))
    }

    /// Whether a backend can hold what it has.
    ///
    /// # Errors
    ///
    /// Returns what it lacks.
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

    /// What a backend can do beyond reservations, in units a second.
    pub fn spare_rate(&self, view: &ClusterView, backend: &BackendId) -> u64 {
        let rate = view.backends.get(backend).map_or(0, |known| known.rate);
        rate.saturating_sub(self.reserved_rate(view, backend))
    }
}
