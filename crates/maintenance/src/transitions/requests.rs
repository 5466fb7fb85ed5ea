//! Transitions by which operators submit requests, withdraw them and report that work is finished.
use crate::effect::Effect;
use crate::grant::Grant;
use crate::limits;
use crate::recovery::Recovery;
use crate::rejection::Rejection;
use crate::request::{BackendOutcome, MaintenanceRequest};
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::{BackendId, Index};
use std::collections::BTreeSet;

impl MaintenanceState {
    /// A new request with the index of the entry that is being applied, whose backends all wait.
    pub(super) fn new_request(
        &self,
        backends: &BTreeSet<BackendId>,
        work_ms: u64,
        deadline_ms: Option<u64>,
        all_at_once: bool,
    ) -> MaintenanceRequest {
        let backends = backends.iter().map(|backend| (backend.clone(), BackendOutcome::Waiting)).collect();
        MaintenanceRequest { index: self.applied, backends, work_ms, deadline_ms, all_at_once }
    }

    /// Adds a request. If the name is known and the content is the same, only the status of that request is reported.
    pub(super) fn submit_request(
        &mut self,
        name: &str,
        request: MaintenanceRequest,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        match self.request(name) {
            Some(known) if !known.asks_for_same(&request) => return Err(Rejection::NameTaken),
            Some(_) => {}
            None => {
                self.check_new_request(name, &request)?;
                self.requests.insert(name.into(), request);
            }
        }
        effects.extend(self.status(name).map(Effect::Status));
        Ok(())
    }

    fn check_new_request(&self, name: &str, request: &MaintenanceRequest) -> Result<(), Rejection> {
        let is_name_valid = (1..=limits::NAME_BYTES).contains(&name.len());
        let is_size_valid = (1..=limits::BACKENDS_PER_REQUEST).contains(&request.backends.len());
        if !is_name_valid || !is_size_valid {
            return Err(Rejection::InvalidSize);
        }
        if self.facts.complete_at_ms.is_some() {
            let unlisted = request.backends.keys().find(|backend| !self.facts.is_listed(backend));
            if let Some(backend) = unlisted {
                return Err(Rejection::NotListed(backend.clone()));
            }
        }
        let requested: usize = self.requests.values().map(|open| open.backends.len()).sum();
        let is_full = self.requests.len() >= limits::OPEN_REQUESTS;
        if is_full || requested + request.backends.len() > limits::REQUESTED_BACKENDS {
            return Err(Rejection::LimitReached);
        }
        Ok(())
    }

    /// Withdraws a request: waiting backends are dropped and draining ones recover; drained ones stay out of service until
    /// they are returned.
    pub(super) fn withdraw(&mut self, name: &str, effects: &mut Vec<Effect>) -> Result<(), Rejection> {
        self.end_request(name, |grant| !grant.is_drained(), effects)
    }

    /// Ends a request: waiting backends are dropped and granted ones recover.
    pub(super) fn finish(&mut self, name: &str, effects: &mut Vec<Effect>) -> Result<(), Rejection> {
        self.end_request(name, |_| true, effects)
    }

    fn end_request(
        &mut self,
        name: &str,
        is_returned: fn(&Grant) -> bool,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        if let Some(request) = self.requests.get_mut(name) {
            request.end_waiting(BackendOutcome::Withdrawn);
            for (backend, outcome) in request.backends.clone() {
                let BackendOutcome::Granted(grant) = outcome else { continue };
                if self.grants.get(&grant).is_none_or(is_returned) {
                    self.return_backend(name, &backend, effects)?;
                }
            }
        }
        let status = self.status(name).ok_or(Rejection::NotFound)?;
        effects.push(Effect::Status(status));
        Ok(())
    }

    /// Ends the grant of a backend and begins its recovery.
    pub(super) fn return_backend(
        &mut self,
        name: &str,
        backend: &BackendId,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let known = self.request(name).ok_or(Rejection::NotFound)?;
        let Some(BackendOutcome::Granted(grant)) = known.backends.get(backend).copied() else {
            return Err(Rejection::Superseded);
        };
        let request = self.requests.get_mut(name).ok_or(Rejection::Superseded)?;
        request.backends.insert(backend.clone(), BackendOutcome::Returned);
        self.remove_from_grant(grant, backend);
        self.begin_recovery(backend, effects);
        Ok(())
    }

    fn remove_from_grant(&mut self, index: Index, backend: &BackendId) {
        let Some(grant) = self.grants.get_mut(&index) else { return };
        grant.backends.remove(backend);
        if grant.backends.is_empty() {
            self.grants.remove(&index);
        }
    }

    fn begin_recovery(&mut self, backend: &BackendId, effects: &mut Vec<Effect>) {
        let step = self.applied;
        let listed = self.facts.backends.get_mut(backend).filter(|known| known.facts.is_listed);
        let Some(known) = listed else {
            self.phases.remove(backend);
            effects.push(Effect::InService { backend: backend.clone() });
            return;
        };
        // Regardless of earlier measurements, the backend counts as warming up until it is measured again.
        known.facts.is_warming_up = true;
        known.changed = step;
        self.phases.insert(backend.clone(), MaintenancePhase::Recovering(Recovery::new(step)));
        effects.push(Effect::Recovering { backend: backend.clone(), step, stage: None });
    }
}
