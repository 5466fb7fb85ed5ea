//! Results of attempts: updates the backend's state, then finishes or retries the request.
use super::constants::{OPERATION_CREDITS, PAYLOAD_POOL_REQUESTS};
use super::state::{PossibleExecution, RequestState};
use super::Scheduler;
use crate::interface::{Action, AttemptOutcome, AttemptReport, Micros, RequestId};
use crate::time::add_us;
use rand::Rng;

/// The first ejection lasts the base time multiplied by two to this power; the time doubles with each
/// consecutive failure.
const FIRST_EJECTION_EXPONENT: i32 = -2;
/// Consecutive failures after which ejections no longer grow, while discovery responds.
const MAX_COUNTED_FAILURES: i32 = 5;
/// Range of the random factor applied to an ejection.
const EJECTION_JITTER: std::ops::Range<f64> = 0.5..1.0;

/// The health of a backend after an outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BackendHealth {
    /// The backend works, or the outcome says nothing about it.
    Healthy,
    /// The backend failed or is too slow, and is ejected.
    Failed,
}

impl Scheduler {
    /// Handles the end of an attempt, and finishes the request or queues it again.
    pub(super) fn attempt_ended(&mut self, report: &AttemptReport, actions: &mut Vec<Action>) {
        let Some((index, sent_at)) = self.remove_in_flight(report) else { return };
        let was_short_of_credits = self.return_credits(report);
        let Some(open) = self.requests.get_mut(&report.id) else { return };
        let was_abandoned = open.state == RequestState::Abandoned;
        let is_over = was_abandoned || report.request_finished || report.outcome == AttemptOutcome::Ok;
        open.state = RequestState::Blocked;
        let units = open.request.units;
        let health = self.update_backend_health(report, index, sent_at, units);
        let backend = &mut self.backends.all[index];
        backend.clamp_window(self.gateways_per_slot);
        if health == BackendHealth::Failed {
            self.eject(index, report.elapsed);
        }
        self.record_execution(report, index, sent_at);
        let shard = self.backends.all[index].entry.shard;
        if !is_over {
            self.reassign_new_object(report.id, units);
        }
        if is_over {
            self.remove(report.id, actions);
        } else if self.is_out_of_attempts(report.id) || !self.keep_waiting(report.id) {
            self.finish(report.id, actions);
        } else {
            self.enqueue_front(report.id, actions);
        }
        self.dispatch(shard, actions);
        if was_short_of_credits {
            // Requests at other shards may be waiting for the session's credits.
            self.dispatch_all(actions);
        }
    }

    /// Removes the attempt from those in flight and returns the backend's index and the send time. `None` if
    /// the attempt isn't known to be in flight, for example when it is reported twice.
    fn remove_in_flight(&mut self, report: &AttemptReport) -> Option<(usize, Micros)> {
        let index = *self.backends.by_id.get(&report.backend)?;
        let open = self.requests.get(&report.id)?;
        if !open.is_in_flight() || report.attempt + 1 != open.attempts {
            return None;
        }
        let backend = &mut self.backends.all[index];
        let (sent_at, _) = *backend.in_flight.iter().find(|(_, id)| *id == report.id)?;
        backend.in_flight.remove(&(sent_at, report.id));
        Some((index, sent_at))
    }

    /// Returns the attempt's credits to its session and records the units served for the volume. The result
    /// tells whether the session had run out of credits.
    fn return_credits(&mut self, report: &AttemptReport) -> bool {
        let Some(open) = self.requests.get(&report.id) else { return false };
        let units = open.request.units;
        let session = &mut self.sessions.all[open.session];
        let shortage_threshold_units = (PAYLOAD_POOL_REQUESTS - 1.0) * self.settings.max_request_units;
        let was_short_of_credits = session.operations_in_flight >= OPERATION_CREDITS
            || session.units_in_flight > shortage_threshold_units;
        session.operations_in_flight = session.operations_in_flight.saturating_sub(1);
        session.units_in_flight = (session.units_in_flight - units).max(0.0);
        session.refill(&self.settings, self.now);
        if report.outcome == AttemptOutcome::Ok && self.settings.reports_remote_units {
            let remote = report.remote_units.max(0.0);
            let pool_units = PAYLOAD_POOL_REQUESTS * self.settings.mean_request_units;
            let decay_factor = 0.5f64.powf((units + remote) / pool_units);
            session.local_units = session.local_units * decay_factor + units;
            session.total_units = session.total_units * decay_factor + units + remote;
        }
        was_short_of_credits
    }

    /// Updates the backend's latency, window and failures.
    fn update_backend_health(
        &mut self,
        report: &AttemptReport,
        index: usize,
        sent_at: Micros,
        units: f64,
    ) -> BackendHealth {
        let backend = &mut self.backends.all[index];
        backend.last_outcome_at = self.now;
        if matches!(report.outcome, AttemptOutcome::Ok | AttemptOutcome::Error) {
            backend.latest_answered_send = backend.latest_answered_send.max(sent_at);
        }
        match report.outcome {
            AttemptOutcome::Ok => self.record_served_attempt(report, index, units),
            AttemptOutcome::Error => {
                backend.failures = 0;
                BackendHealth::Healthy
            }
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => BackendHealth::Healthy,
            // A single response was lost, since a later attempt got its response.
            AttemptOutcome::Timeout if backend.latest_answered_send > sent_at => BackendHealth::Healthy,
            AttemptOutcome::Rejected
            | AttemptOutcome::Timeout
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => {
                backend.halve_window();
                BackendHealth::Failed
            }
        }
    }

    fn record_served_attempt(&mut self, report: &AttemptReport, index: usize, units: f64) -> BackendHealth {
        let backend = &mut self.backends.all[index];
        let before = backend.latency_us;
        let sample_us = backend.record_latency(elapsed_us(report.elapsed), units);
        if let Some(latency_us) = backend.latency_us.filter(|_| backend.is_ready()) {
            self.latencies.total_us += latency_us - before.unwrap_or(0.0);
            self.latencies.count += before.map_or(1.0, |_| 0.0);
        }
        let slow_start = &self.settings.slow_start;
        if backend.slow_start.warming_up_for_us(slow_start, self.now).is_none() {
            if let Some(shard) = self.shards.get_mut(&backend.entry.shard) {
                shard.served_units.add(self.now, slow_start.duration.0 as f64, units);
            }
        }
        backend.adapt_window(sample_us, self.shortest_objective_us);
        // Where many gateways share a backend, one late response indicates a queue caused by all of them,
        // which the window responds to. Ejecting the backend would reject reserved requests.
        let is_too_slow = self.gateways_per_slot < 1.0
            && report.elapsed.0 as f64 * self.gateways_per_slot > self.shortest_objective_us;
        if is_too_slow {
            return BackendHealth::Failed;
        }
        backend.failures = 0;
        BackendHealth::Healthy
    }

    /// Ejects a backend for a time that doubles with each failure, without bound while discovery fails.
    ///
    /// Dozens of gateways with one request each are enough to fill a queue, so the time is proportional to
    /// their number.
    fn eject(&mut self, index: usize, elapsed: Micros) {
        let backend = &mut self.backends.all[index];
        let connect_timeout_us = self.settings.connect_timeout.0 as f64;
        let counted = backend.failures.min(MAX_COUNTED_FAILURES + self.discovery_failures);
        let ejection_us = (elapsed_us(elapsed) * self.gateways_per_slot).max(connect_timeout_us)
            * 2f64.powi(counted + FIRST_EJECTION_EXPONENT);
        backend.failures += 1;
        let jitter = self.rng.0.random_range(EJECTION_JITTER);
        backend.ejected_until = add_us(self.now, ejection_us * jitter);
    }

    /// Records that the request may have been executed, and blocks its key while the attempt may still run.
    fn record_execution(&mut self, report: &AttemptReport, index: usize, sent_at: Micros) {
        let Some(open) = self.requests.get_mut(&report.id) else { return };
        let may_have_run = !matches!(
            report.outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        let entry = &self.backends.all[index].entry;
        let execution = PossibleExecution { shard: entry.shard, zone: entry.zone, sent_at };
        open.possible_execution = open.possible_execution.or(may_have_run.then_some(execution));
        let may_still_run = matches!(
            report.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        let key = open.request.key.as_ref().filter(|_| may_still_run);
        if let Some(queue) = key.and_then(|key| self.keys.get_mut(key)) {
            let blocked_until = add_us(self.now, self.settings.ordering_pause.0 as f64);
            queue.blocked_until = queue.blocked_until.max(blocked_until);
        }
    }

    /// Selects a shard for a new object again, unless a backend may already hold it.
    fn reassign_new_object(&mut self, id: RequestId, units: f64) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.request.shard.is_none() && open.possible_execution.is_none() {
            let shard = self.place(open.queue_id(), units);
            self.requests.entry(id).and_modify(|open| open.shard = shard);
        }
    }

    fn is_out_of_attempts(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| open.attempts >= self.settings.max_attempts)
    }
}

/// Duration of an attempt, at least one microsecond.
fn elapsed_us(elapsed: Micros) -> f64 {
    elapsed.0.max(1) as f64
}
