//! The backends that count as out of service, and whether additional ones would exceed a bound.
use crate::bound::Bound;
use crate::request::Batch;
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::{BackendId, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// Why a backend counts as out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutReason {
    /// It is granted, recovering or warming up, and expected to return.
    Temporary,
    /// It has failed or is no longer listed, and it is unknown when it returns.
    Failed,
}

/// The backends that count as out of service in one state.
pub(crate) struct OutOfServiceSet<'a> {
    state: &'a MaintenanceState,
    reasons: BTreeMap<&'a BackendId, OutReason>,
    /// Whether only grants and recoveries count.
    only_granted: bool,
}

impl<'a> OutOfServiceSet<'a> {
    /// All backends that count as out of service.
    pub(crate) fn all(state: &'a MaintenanceState) -> OutOfServiceSet<'a> {
        let mut reasons = BTreeMap::new();
        for (backend, known) in &state.facts.backends {
            let phase = state.phases.get(backend);
            let reason = match phase {
                Some(MaintenancePhase::Granted(_)) => Some(OutReason::Temporary),
                _ if !known.facts.is_available() => Some(OutReason::Failed),
                Some(MaintenancePhase::Recovering(_)) => Some(OutReason::Temporary),
                None if known.facts.is_warming_up => Some(OutReason::Temporary),
                None => None,
            };
            reasons.extend(reason.map(|reason| (backend, reason)));
        }
        OutOfServiceSet { state, reasons, only_granted: false }
    }

    /// Only the backends that are granted or recovering. A failed backend may be granted although failures already exceed
    /// a bound, but the grants alone must not exceed any. Otherwise a leader that is partitioned from a zone would consider
    /// all of its backends failed and grant all of them.
    pub(crate) fn granted(state: &'a MaintenanceState) -> OutOfServiceSet<'a> {
        let reasons = state.phases.keys().map(|backend| (backend, OutReason::Temporary)).collect();
        OutOfServiceSet { state, reasons, only_granted: true }
    }

    pub(crate) fn into_backends(self) -> BTreeSet<BackendId> {
        self.reasons.into_keys().cloned().collect()
    }

    pub(super) fn backends(&self) -> impl Iterator<Item = &'a BackendId> + use<'_, 'a> {
        self.reasons.keys().copied()
    }

    pub(super) fn contains(&self, backend: &BackendId) -> bool {
        self.reasons.contains_key(backend)
    }

    /// Whether a backend is out of service because of a failure rather than a grant.
    pub(super) fn has_failed(&self, backend: &BackendId) -> bool {
        self.reasons.get(backend) == Some(&OutReason::Failed)
    }

    /// Whether a bound applies to a backend.
    pub(super) fn is_under(&self, backend: &BackendId, bound: &Bound) -> bool {
        let facts = &self.state.facts;
        match bound {
            Bound::Total => true,
            Bound::Zone(zone) => facts.backend(backend).is_some_and(|facts| facts.zone == *zone),
            Bound::Volume(volume) | Bound::Reservation(volume) => {
                facts.volumes.get(volume).is_some_and(|known| known.facts.backends.contains_key(backend))
            }
        }
    }

    /// All bounds that apply to at least one of these backends.
    pub(super) fn bounds_of<'b>(&self, backends: impl Iterator<Item = &'b BackendId>) -> BTreeSet<Bound> {
        let mut bounds = BTreeSet::from([Bound::Total]);
        for backend in backends {
            let zone = self.state.facts.backend(backend).map(|facts| facts.zone.clone());
            bounds.extend(zone.map(Bound::Zone));
            for (volume, _) in self.state.facts.volumes_of(backend) {
                bounds.insert(Bound::Volume(volume.clone()));
                if !self.only_granted {
                    bounds.insert(Bound::Reservation(volume.clone()));
                }
            }
        }
        bounds
    }

    /// The number of backends that a bound allows to be out of service.
    pub(super) fn allowed(&self, bound: &Bound) -> usize {
        let rules = &self.state.rules;
        let allowed = match bound {
            Bound::Total => rules.max_out,
            Bound::Zone(_) => rules.max_out_per_zone,
            Bound::Volume(_) | Bound::Reservation(_) => rules.max_out_per_volume,
        };
        allowed as usize
    }

    /// Whether a volume keeps its reserved capacity without the backends for which `is_out` returns true.
    pub(super) fn keeps_reservation(&self, volume: &Volume, is_out: impl Fn(&BackendId) -> bool) -> bool {
        let Some(known) = self.state.facts.volumes.get(volume) else { return true };
        let in_service = known.facts.backends.iter().filter(|(backend, _)| !is_out(backend));
        let capacity: u128 = in_service.map(|(_, capacity)| u128::from(*capacity)).sum();
        capacity >= u128::from(known.facts.reserved)
    }

    /// Checks whether a batch may go out of service in addition to the backends that are out for a reason that `counts`.
    /// Backends of the batch that are already counted add nothing.
    fn admit(&self, batch: &Batch, counts: impl Fn(OutReason) -> bool) -> Result<(), Bound> {
        let is_out = |backend: &BackendId| self.reasons.get(backend).is_some_and(|reason| counts(*reason));
        let added: Batch = batch.iter().filter(|backend| !is_out(backend)).cloned().collect();
        if added.is_empty() {
            return Ok(());
        }
        for bound in self.bounds_of(added.iter()) {
            let is_kept = match &bound {
                Bound::Reservation(volume) => {
                    self.keeps_reservation(volume, |backend| is_out(backend) || added.contains(backend))
                }
                _ => {
                    let is_counted = |backend: &BackendId| is_out(backend) && self.is_under(backend, &bound);
                    let out = self.backends().filter(|backend| is_counted(backend)).count();
                    let more = added.iter().filter(|backend| self.is_under(backend, &bound)).count();
                    out + more <= self.allowed(&bound)
                }
            };
            if !is_kept {
                return Err(bound);
            }
        }
        Ok(())
    }

    /// Checks whether a batch may go out of service now; the error is the first bound that it would exceed.
    pub(super) fn admit_now(&self, batch: &Batch) -> Result<(), Bound> {
        self.admit(batch, |_| true)
    }

    /// Whether a batch could go out of service once all temporarily unavailable backends have returned.
    pub(super) fn admits_eventually(&self, batch: &Batch) -> bool {
        batch.iter().all(|backend| self.state.facts.is_listed(backend))
            && self.admit(batch, |reason| reason == OutReason::Failed).is_ok()
    }
}
