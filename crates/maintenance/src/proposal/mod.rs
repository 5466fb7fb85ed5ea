//! The leader's proposals. Safety doesn't depend on them: [`MaintenanceState::apply`] checks each command again.
mod observations;
mod recovery_step;
mod view;

pub use view::ClusterView;

use crate::admission::AdmissionCheck;
use crate::command::Command;
use crate::state::MaintenanceState;

impl MaintenanceState {
    /// The commands to append to the log next, given the leader's Unix time and its view of the cluster. Proposing a command
    /// again before it is applied is harmless.
    pub fn propose(&self, now_ms: u64, view: &ClusterView) -> Vec<Command> {
        let now_ms = self.log_time_ms.max(now_ms);
        let mut commands = self.observations(now_ms, view);
        if commands.is_empty() && self.is_time_due(now_ms) {
            commands.push(Command::Tick);
        }
        // Observations precede the grant in the log, so that it is checked against them. It is not delayed until no
        // observations are due, since in a large cluster this may never be the case.
        commands.extend(self.next_grant(now_ms, view));
        let recoveries = self.recoveries();
        commands.extend(
            recoveries.filter_map(|(backend, recovery)| self.next_recovery_step(backend, recovery, view)),
        );
        commands
    }

    /// Whether advancing the log time alone has an effect: a missed deadline, overdue work or a backend to remove.
    fn is_time_due(&self, now_ms: u64) -> bool {
        let has_passed = |since_ms: u64, span_ms: u64| since_ms.saturating_add(span_ms) < now_ms;
        let mut requests = self.requests.values();
        let is_deadline_missed = requests.any(|request| request.is_deadline_missed(now_ms));
        let is_overdue = self.grants.values().any(|grant| {
            let drained_at_ms = grant.drained_at_ms.filter(|_| !grant.is_overdue_reported);
            drained_at_ms.is_some_and(|drained_at_ms| has_passed(drained_at_ms, grant.work_ms))
        });
        let is_forgotten = self.facts.backends.iter().any(|(backend, known)| {
            let unlisted_ms = known.unlisted_since_ms.filter(|_| !self.phases.contains_key(backend));
            unlisted_ms.is_some_and(|unlisted_ms| has_passed(unlisted_ms, self.rules.unlisted_grace_ms))
        });
        is_deadline_missed || is_overdue || is_forgotten
    }

    /// A grant of the longest-waiting batch that may be granted now. Only one is proposed at a time: the next batch is
    /// checked against the state after this grant.
    fn next_grant(&self, now_ms: u64, view: &ClusterView) -> Option<Command> {
        if !view.is_complete || !self.has_waiting_request() {
            return None;
        }
        let max_age_ms = self.rules.max_measurement_age_ms;
        if self.facts.complete_at_ms.is_none_or(|at_ms| at_ms.saturating_add(max_age_ms) < now_ms) {
            return None;
        }
        let check = AdmissionCheck::new(self);
        for (name, request) in self.open_requests() {
            let batches = request.waiting_batches();
            if let Some(backends) = batches.into_iter().find(|batch| check.admit(name, batch).is_ok()) {
                return Some(Command::Grant { name: name.into(), backends });
            }
        }
        None
    }
}
