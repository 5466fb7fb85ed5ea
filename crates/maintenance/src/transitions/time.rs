//! Transitions caused by the log time: missed deadlines, overdue work, the removal of backends and of ended requests.
use crate::effect::Effect;
use crate::limits;
use crate::request::BackendOutcome;
use crate::state::MaintenanceState;
use cluster_types::BackendId;

impl MaintenanceState {
    /// Updates the state to the log time and archives ended requests.
    pub(super) fn advance_time(&mut self, effects: &mut Vec<Effect>) {
        self.end_missed_requests(effects);
        self.report_overdue(effects);
        self.forget_unlisted_backends();
        self.archive_ended_requests(effects);
    }

    fn end_missed_requests(&mut self, effects: &mut Vec<Effect>) {
        for (name, request) in &mut self.requests {
            if request.is_deadline_missed(self.log_time_ms) {
                let backends = request.end_waiting(BackendOutcome::DeadlineMissed);
                effects.push(Effect::DeadlineMissed { name: name.clone(), backends });
            }
        }
    }

    /// Reports, once, each grant whose work takes longer than requested. Its backends still count as out of service.
    fn report_overdue(&mut self, effects: &mut Vec<Effect>) {
        for (index, grant) in &mut self.grants {
            let due_ms = grant.drained_at_ms.map(|drained_at_ms| drained_at_ms.saturating_add(grant.work_ms));
            if !grant.is_overdue_reported && due_ms.is_some_and(|due_ms| due_ms < self.log_time_ms) {
                grant.is_overdue_reported = true;
                let (name, backends) = (grant.name.clone(), grant.backends.clone());
                effects.push(Effect::Overdue { grant: *index, name, backends });
            }
        }
    }

    fn forget_unlisted_backends(&mut self) {
        let grace_ms = self.rules.unlisted_grace_ms;
        let is_over = |unlisted_ms: u64| unlisted_ms.saturating_add(grace_ms) <= self.log_time_ms;
        let known = self.facts.backends.iter();
        let unlisted = known.filter(|(_, known)| known.unlisted_since_ms.is_some_and(is_over));
        let forgotten = unlisted.map(|(backend, _)| backend);
        let forgotten = forgotten.filter(|backend| !self.phases.contains_key(*backend));
        let forgotten: Vec<BackendId> = forgotten.cloned().collect();
        for backend in &forgotten {
            self.facts.forget_backend(backend);
        }
    }

    fn archive_ended_requests(&mut self, effects: &mut Vec<Effect>) {
        let ended = self.requests.iter().filter(|(_, request)| !request.is_open());
        let ended: Vec<String> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            effects.extend(self.status(&name).map(Effect::RequestEnded));
            if let Some(request) = self.requests.remove(&name) {
                self.ended_requests.push_back((name, request));
            }
            if self.ended_requests.len() > limits::ENDED_REQUESTS {
                self.ended_requests.pop_front();
            }
        }
    }
}
