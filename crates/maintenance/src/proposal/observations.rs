//! Proposes observations: the differences between the leader's view and the replicated facts.
use super::view::ClusterView;
use crate::command::Command;
use crate::facts::{BackendFacts, VolumeFacts};
use crate::limits;
use crate::state::MaintenanceState;
use cluster_types::{BackendId, Volume};
use std::collections::BTreeSet;

/// The maximum number of `Observe` commands in one proposal; the rest is left to later proposals.
const MAX_COMMANDS: usize = 4;
/// Capacities that differ by no more than the larger one divided by this number count as equal.
const CAPACITY_TOLERANCE_DIVISOR: u64 = 16;

impl MaintenanceState {
    /// The commands that update the replicated facts to the view.
    pub(super) fn observations(&self, now_ms: u64, view: &ClusterView) -> Vec<Command> {
        let backends = self.changed_backends(view);
        // Backends come first: a volume is only observed once the backends that store it are known.
        let are_backends_current = backends.is_empty();
        let volumes = if are_backends_current { self.changed_volumes(now_ms, view) } else { Vec::new() };
        let is_complete = view.is_complete && are_backends_current;
        let is_refresh_due = is_complete && self.is_refresh_due(now_ms);
        if backends.is_empty() && volumes.is_empty() && !is_refresh_due {
            return Vec::new();
        }
        let count = backends.len().max(volumes.len()).div_ceil(limits::FACTS_PER_COMMAND).max(1);
        let mut backends = backends.into_iter();
        let mut volumes = volumes.into_iter();
        let observe = |number: usize| Command::Observe {
            min_applied: view.min_applied,
            is_complete: is_complete && count <= MAX_COMMANDS && number == count,
            backends: backends.by_ref().take(limits::FACTS_PER_COMMAND).collect(),
            volumes: volumes.by_ref().take(limits::FACTS_PER_COMMAND).collect(),
        };
        (1..=count.min(MAX_COMMANDS)).map(observe).collect()
    }

    /// Whether the facts were never complete, or will soon be too old while a request waits.
    fn is_refresh_due(&self, now_ms: u64) -> bool {
        match self.facts.complete_at_ms {
            None => true,
            Some(at_ms) => self.is_past_half_max_age(at_ms, now_ms) && self.has_waiting_request(),
        }
    }

    /// Whether a measurement is older than half the maximum age for grants.
    fn is_past_half_max_age(&self, measured_at_ms: u64, now_ms: u64) -> bool {
        measured_at_ms.saturating_add(self.rules.max_measurement_age_ms / 2) < now_ms
    }

    fn changed_backends(&self, view: &ClusterView) -> Vec<(BackendId, BackendFacts)> {
        let mut changed = Vec::new();
        let is_below_limit = self.facts.backends.len() < limits::BACKENDS;
        for (backend, facts) in &view.backends {
            let has_changed = match self.facts.backends.get(backend) {
                None => facts.is_listed && is_below_limit,
                Some(known) => known.facts != *facts && known.changed <= view.min_applied,
            };
            if has_changed {
                changed.push((backend.clone(), facts.clone()));
            }
        }
        if view.is_complete {
            for (backend, known) in &self.facts.backends {
                let is_in_view = view.backends.contains_key(backend);
                if !is_in_view && known.facts.is_listed && known.changed <= view.min_applied {
                    let facts = BackendFacts { is_listed: false, ..known.facts.clone() };
                    changed.push((backend.clone(), facts));
                }
            }
        }
        changed
    }

    fn changed_volumes(&self, now_ms: u64, view: &ClusterView) -> Vec<(Volume, VolumeFacts)> {
        let mut changed = Vec::new();
        let requested = self.requested_backends();
        for (volume, facts) in &view.volumes {
            let is_within_limit = facts.backends.len() <= limits::BACKENDS_PER_VOLUME;
            if is_within_limit && self.has_volume_changed(now_ms, volume, facts, &requested, view) {
                changed.push((volume.clone(), facts.clone()));
            }
        }
        if view.is_complete {
            for (volume, known) in &self.facts.volumes {
                if !view.volumes.contains_key(volume) && known.changed <= view.min_applied {
                    changed.push((volume.clone(), VolumeFacts::default()));
                }
            }
        }
        changed
    }

    /// The backends of waiting requests, whose volumes need recent measurements.
    fn requested_backends(&self) -> BTreeSet<&BackendId> {
        let waiting = self.requests.values().filter(|request| request.is_waiting());
        waiting.flat_map(|request| request.backends.keys()).collect()
    }

    /// Whether a volume must be observed again. A difference in its backends or its reservation always counts; the age of
    /// its measurements and a difference in capacity only count while a request depends on the volume.
    fn has_volume_changed(
        &self,
        now_ms: u64,
        volume: &Volume,
        facts: &VolumeFacts,
        requested: &BTreeSet<&BackendId>,
        view: &ClusterView,
    ) -> bool {
        let mut facts = facts.clone();
        facts.backends.retain(|backend, _| self.facts.backends.contains_key(backend));
        let Some(known) = self.facts.volumes.get(volume) else {
            return !facts.backends.is_empty() && self.facts.volumes.len() < limits::VOLUMES;
        };
        if known.changed > view.min_applied {
            return false;
        }
        let has_same_backends = known.facts.backends.keys().eq(facts.backends.keys());
        if known.facts.reserved != facts.reserved || !has_same_backends {
            return true;
        }
        if !facts.backends.keys().any(|backend| requested.contains(backend)) {
            return false;
        }
        let mut capacities = known.facts.backends.values().zip(facts.backends.values());
        self.is_past_half_max_age(known.measured_at_ms, now_ms)
            || capacities.any(|(known, measured)| has_capacity_changed(*known, *measured))
    }
}

fn has_capacity_changed(known: u64, measured: u64) -> bool {
    known.abs_diff(measured) > known.max(measured) / CAPACITY_TOLERANCE_DIVISOR
}
