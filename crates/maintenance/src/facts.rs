//! Replicated facts about backends and volumes, by which every member checks the bounds in the same way.
use crate::limits;
use cluster_types::{BackendId, Index, Volume, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Facts about a backend. Stored and sent: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendFacts {
    /// The zone of the backend.
    pub zone: Zone,
    /// Whether discovery lists it.
    pub is_listed: bool,
    /// Whether it has failed.
    pub has_failed: bool,
    /// Whether it is warming up.
    pub is_warming_up: bool,
}

impl BackendFacts {
    /// Whether the backend can serve requests, maintenance aside.
    pub(crate) fn is_available(&self) -> bool {
        self.is_listed && !self.has_failed
    }
}

/// Facts about a volume. Stored and sent: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeFacts {
    /// The capacity that is reserved for the volume.
    pub reserved: u64,
    /// The backends that store the volume, with the capacity that members measured at each, in the unit of `reserved`.
    /// Backends that are out of service are included as long as they store the volume.
    pub backends: BTreeMap<BackendId, u64>,
}

/// Index and time of the log entry that carried the facts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryPosition {
    pub(crate) index: Index,
    pub(crate) time_ms: u64,
}

/// The facts about a backend and when they changed. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownBackend {
    pub(crate) facts: BackendFacts,
    /// The last entry that changed the facts. Observations made before it are ignored.
    pub(crate) changed: Index,
    /// The log time at which discovery stopped listing it.
    pub(crate) unlisted_since_ms: Option<u64>,
    /// The volumes that it stores.
    pub(crate) volumes: BTreeSet<Volume>,
}

/// The facts about a volume and when they were measured. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MeasuredVolume {
    pub(crate) facts: VolumeFacts,
    /// The last entry that measured the volume. Observations made before it are ignored.
    pub(crate) changed: Index,
    /// The log time of that entry.
    pub(crate) measured_at_ms: u64,
}

/// All facts. Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FactStore {
    pub(crate) backends: BTreeMap<BackendId, KnownBackend>,
    pub(crate) volumes: BTreeMap<Volume, MeasuredVolume>,
    /// The log time of the last observation after which all backends and volumes were known.
    pub(crate) complete_at_ms: Option<u64>,
    /// The number of facts that were dropped because a limit was reached.
    pub(crate) dropped: u64,
}

impl FactStore {
    pub(crate) fn backend(&self, backend: &BackendId) -> Option<&BackendFacts> {
        self.backends.get(backend).map(|known| &known.facts)
    }

    pub(crate) fn is_listed(&self, backend: &BackendId) -> bool {
        self.backend(backend).is_some_and(|facts| facts.is_listed)
    }

    pub(crate) fn has_failed(&self, backend: &BackendId) -> bool {
        self.backend(backend).is_some_and(|facts| facts.has_failed)
    }

    /// The volumes that a backend stores.
    pub(crate) fn volumes_of(&self, backend: &BackendId) -> impl Iterator<Item = (&Volume, &MeasuredVolume)> {
        let volumes = self.backends.get(backend).into_iter().flat_map(|known| known.volumes.iter());
        volumes.filter_map(|volume| self.volumes.get_key_value(volume))
    }

    /// Records an observation of a backend that was made with the log applied up to `min_applied`, unless the facts have
    /// changed since. Returns whether anything changed. A backend that was never listed is not recorded.
    pub(crate) fn observe_backend(
        &mut self,
        entry: EntryPosition,
        min_applied: Index,
        backend: &BackendId,
        facts: &BackendFacts,
    ) -> bool {
        let is_full = self.backends.len() >= limits::BACKENDS;
        let known = match self.backends.get_mut(backend) {
            Some(known) => known,
            None if is_full => {
                self.dropped += 1;
                return false;
            }
            None if !facts.is_listed => return false,
            None => self.backends.entry(backend.clone()).or_default(),
        };
        let is_new = known.changed == Index(0);
        if known.changed > min_applied || (known.facts == *facts && !is_new) {
            return false;
        }
        known.unlisted_since_ms =
            if facts.is_listed { None } else { known.unlisted_since_ms.or(Some(entry.time_ms)) };
        known.facts = facts.clone();
        known.changed = entry.index;
        true
    }

    /// Records an observation of a volume that was made with the log applied up to `min_applied`, unless the facts have
    /// changed since. A volume without backends is removed; unknown backends are left out.
    pub(crate) fn observe_volume(
        &mut self,
        entry: EntryPosition,
        min_applied: Index,
        volume: &Volume,
        facts: &VolumeFacts,
    ) {
        let known = self.volumes.get(volume);
        if known.is_some_and(|known| known.changed > min_applied) {
            return;
        }
        let is_full = known.is_none() && self.volumes.len() >= limits::VOLUMES;
        if is_full || facts.backends.len() > limits::BACKENDS_PER_VOLUME {
            self.dropped += 1;
            return;
        }
        self.remove_volume(volume);
        let mut facts = facts.clone();
        facts.backends.retain(|backend, _| self.backends.contains_key(backend));
        for backend in facts.backends.keys() {
            if let Some(known) = self.backends.get_mut(backend) {
                known.volumes.insert(volume.clone());
            }
        }
        if !facts.backends.is_empty() {
            let measured = MeasuredVolume { facts, changed: entry.index, measured_at_ms: entry.time_ms };
            self.volumes.insert(volume.clone(), measured);
        }
    }

    fn remove_volume(&mut self, volume: &Volume) {
        let Some(removed) = self.volumes.remove(volume) else { return };
        for backend in removed.facts.backends.keys() {
            if let Some(known) = self.backends.get_mut(backend) {
                known.volumes.remove(volume);
            }
        }
    }

    /// Removes a backend, and the volumes that only it stored.
    pub(crate) fn forget_backend(&mut self, backend: &BackendId) {
        let Some(known) = self.backends.remove(backend) else { return };
        for name in known.volumes {
            let Some(volume) = self.volumes.get_mut(&name) else { continue };
            volume.facts.backends.remove(backend);
            if volume.facts.backends.is_empty() {
                self.volumes.remove(&name);
            }
        }
    }
}
