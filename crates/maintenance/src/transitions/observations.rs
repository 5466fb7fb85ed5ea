//! Transitions that update the replicated facts from the leader's observations.
use crate::effect::Effect;
use crate::facts::{BackendFacts, VolumeFacts};
use crate::limits;
use crate::rejection::Rejection;
use crate::request::BackendOutcome;
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::{BackendId, Index, Volume};
use std::collections::BTreeMap;

impl MaintenanceState {
    pub(super) fn observe(
        &mut self,
        min_applied: Index,
        is_complete: bool,
        backends: &BTreeMap<BackendId, BackendFacts>,
        volumes: &BTreeMap<Volume, VolumeFacts>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        if backends.len() > limits::FACTS_PER_COMMAND || volumes.len() > limits::FACTS_PER_COMMAND {
            return Err(Rejection::InvalidSize);
        }
        if min_applied >= self.applied {
            return Err(Rejection::Superseded);
        }
        let position = self.position();
        for (backend, facts) in backends {
            if self.facts.observe_backend(position, min_applied, backend, facts) {
                self.handle_backend_change(backend, facts, effects);
            }
        }
        for (volume, facts) in volumes {
            self.facts.observe_volume(position, min_applied, volume, facts);
        }
        if is_complete {
            self.facts.complete_at_ms = Some(self.log_time_ms);
            self.drop_unlisted(effects);
        }
        Ok(())
    }

    /// Ends the recovery of a backend that is no longer listed, and restarts it if the backend has failed.
    fn handle_backend_change(
        &mut self,
        backend: &BackendId,
        facts: &BackendFacts,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(MaintenancePhase::Recovering(recovery)) = self.phases.get_mut(backend) {
            if !facts.is_listed {
                self.phases.remove(backend);
                effects.push(Effect::InService { backend: backend.clone() });
            } else if facts.has_failed {
                let step = self.applied;
                recovery.restart(step);
                effects.push(Effect::Recovering { backend: backend.clone(), step, stage: None });
            }
        }
        if !facts.is_listed {
            self.drop_unlisted(effects);
        }
    }

    /// Drops waiting backends that are not listed. One that was never listed keeps waiting until all backends are known.
    fn drop_unlisted(&mut self, effects: &mut Vec<Effect>) {
        let are_all_known = self.facts.complete_at_ms.is_some();
        for (name, request) in &mut self.requests {
            for (backend, outcome) in &mut request.backends {
                let facts = self.facts.backend(backend);
                let is_unlisted = facts.map_or(are_all_known, |facts| !facts.is_listed);
                if *outcome == BackendOutcome::Waiting && is_unlisted {
                    *outcome = BackendOutcome::Unlisted;
                    effects.push(Effect::Unlisted { name: name.clone(), backend: backend.clone() });
                }
            }
        }
    }
}
