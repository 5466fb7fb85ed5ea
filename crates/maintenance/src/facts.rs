//! What is known of boxes and volumes: replicated, so that every front checks bounds by the same facts.
use crate::limits;
use cluster_types::{BackendId, Index, Volume, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a box.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxFact {
    /// Its hall.
    pub hall: Zone,
    /// Whether discovery lists it.
    pub listed: bool,
    /// Whether it has died by itself.
    pub died: bool,
    /// Whether it is cold.
    pub cold: bool,
}

/// What is known of a volume.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeFact {
    /// What is reserved for it.
    pub reserved: u64,
    /// The boxes where it lies, and what each can carry for it as the fronts measured it, in the reservation's unit. Boxes
    /// that are out stand here too as long as the volume lies there.
    pub boxes: BTreeMap<BackendId, u64>,
}

/// A box as held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) fact: BoxFact,
    /// When it last changed. Guards against an observation that was made before.
    pub(crate) changed: Index,
    /// The log's time at which it was no longer listed.
    pub(crate) gone_ms: Option<u64>,
    /// The volumes that lie there.
    pub(crate) volumes: BTreeSet<Volume>,
}

/// A volume as held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Measured {
    pub(crate) fact: VolumeFact,
    pub(crate) changed: Index,
    /// The log's time at which it was measured.
    pub(crate) at_ms: u64,
}

/// All that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Facts {
    pub(crate) boxes: BTreeMap<BackendId, Known>,
    pub(crate) volumes: BTreeMap<Volume, Measured>,
    /// The log's time as of which all was known.
    pub(crate) whole_ms: Option<u64>,
    /// Facts that were refused at a bound.
    pub(crate) over: u64,
}

impl Facts {
    pub(crate) fn fact(&self, id: &BackendId) -> Option<&BoxFact> {
        self.boxes.get(id).map(|k| &k.fact)
    }

    pub(crate) fn volumes_of(&self, id: &BackendId) -> impl Iterator<Item = (&Volume, &Measured)> {
        let names = self.boxes.get(id).into_iter().flat_map(|k| k.volumes.iter());
        names.filter_map(|v| self.volumes.get_key_value(v))
    }

    /// Takes in what is known of a box. What changed after `seen` stays. Tells whether anything changed.
    pub(crate) fn learn_box(
        &mut self,
        at: (Index, u64),
        seen: Index,
        id: &BackendId,
        fact: &BoxFact,
    ) -> bool {
        let full = self.boxes.len() >= limits::KNOWN;
        let known = match self.boxes.get_mut(id) {
            Some(known) => known,
            None if full => {
                self.over += 1;
                return false;
            }
            None if !fact.listed => return false,
            None => self.boxes.entry(id.clone()).or_default(),
        };
        if known.changed > seen || (known.fact == *fact && known.changed != Index(0)) {
            return false;
        }
        known.gone_ms = if fact.listed { None } else { known.gone_ms.or(Some(at.1)) };
        known.fact = fact.clone();
        known.changed = at.0;
        true
    }

    /// Takes in what is known of a volume; one without boxes is forgotten. Boxes that are not known carry nothing.
    pub(crate) fn learn_volume(&mut self, at: (Index, u64), seen: Index, id: &Volume, fact: &VolumeFact) {
        let held = self.volumes.get(id);
        if held.is_some_and(|m| m.changed > seen) {
            return;
        }
        if fact.boxes.len() > limits::CARRIERS || (held.is_none() && self.volumes.len() >= limits::VOLUMES) {
            self.over += 1;
            return;
        }
        if let Some(old) = self.volumes.remove(id) {
            old.fact.boxes.keys().filter(|b| !fact.boxes.contains_key(*b)).for_each(|b| {
                self.boxes.get_mut(b).map(|k| k.volumes.remove(id));
            });
        }
        let mut fact = fact.clone();
        fact.boxes.retain(|b, _| self.boxes.contains_key(b));
        for id_of_box in fact.boxes.keys() {
            if let Some(known) = self.boxes.get_mut(id_of_box) {
                known.volumes.insert(id.clone());
            }
        }
        if !fact.boxes.is_empty() {
            self.volumes.insert(id.clone(), Measured { fact, changed: at.0, at_ms: at.1 });
        }
    }

    /// Forgets a box altogether.
    pub(crate) fn forget(&mut self, id: &BackendId) {
        let Some(known) = self.boxes.remove(id) else { return };
        for name in known.volumes {
            let Some(volume) = self.volumes.get_mut(&name) else { continue };
            volume.fact.boxes.remove(id);
            if volume.fact.boxes.is_empty() {
                self.volumes.remove(&name);
            }
        }
    }
}
