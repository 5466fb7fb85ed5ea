//! Sends attempts: charges the session, paces the backend and sets the timeout.
use super::constants::TIMEOUT_LATENCIES;
use super::state::RequestState;
use super::Scheduler;
use crate::interface::{Action, Micros, RequestId};
use crate::time::{add_us, prune_until, span_us};

/// Range of the random factor applied to the gap between paced requests.
const PACING_JITTER: std::ops::Range<f64> = 0.5..1.5;

impl Scheduler {
    /// Sends the next attempt of a request, or finishes the request if no further attempt is allowed.
    pub(super) fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(begin_by) = self.requests.get(&id).map(|open| self.sendable_until(open)) else { return };
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.state = RequestState::InFlight;
        let (shard, is_retry) = (open.shard, open.attempts > 0);
        let Some(index) = self.shards.get(&shard).and_then(|shard| shard.active_backend) else { return };
        let is_in_time = begin_by > self.now;
        let is_allowed = if is_retry { self.take_from_retry_budget(is_in_time) } else { is_in_time };
        if !is_allowed {
            return self.finish(id, actions);
        }
        self.charge_session(id);
        self.delay_next_requests(id, index);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let units = open.request.units;
        let session = &mut self.sessions.all[open.session];
        session.reservation_tokens = (session.reservation_tokens - units).max(0.0);
        open.attempts += 1;
        let backend = &mut self.backends.all[index];
        backend.in_flight.insert((self.now, id));
        backend.slow_start.record_send(&self.settings, self.now, units);
        // A lost response must not occupy a slot of the window until the client times out.
        let usual_us = backend.latency_us.unwrap_or(0.0).max(backend.unit_latency_us * units);
        let until_due_us = span_us(self.now, open.due_at);
        let objective_us = open.class.latency_objective.0 as f64;
        let timeout_us = (TIMEOUT_LATENCIES * usual_us).max(until_due_us).max(objective_us) as i64;
        let backend = backend.entry.backend.clone();
        actions.push(Action::Send { id, backend, timeout: Some(Micros(timeout_us)), begin_by });
    }

    /// Whether the budget allows one more retry. The retry is counted if so and if `is_in_time`.
    fn take_from_retry_budget(&mut self, is_in_time: bool) -> bool {
        let Some(budget) = &self.settings.retry_budget else { return is_in_time };
        prune_until(&mut self.arrivals, Micros(self.now.0 - budget.window.0));
        prune_until(&mut self.retries, Micros(self.now.0 - budget.window.0 - 1));
        let max_retries = (budget.min_retries + budget.retry_ratio * self.arrivals.len() as f64).floor();
        let is_allowed = is_in_time && (self.retries.len() + 1) as f64 <= max_retries;
        self.retries.extend(is_allowed.then_some(self.now));
        is_allowed
    }

    /// Charges the credits of an attempt, and for a first attempt also the rate limit.
    fn charge_session(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let units = open.request.units;
        let session = &mut self.sessions.all[open.session];
        session.operations_in_flight += 1;
        session.units_in_flight += units;
        if open.attempts == 0 {
            session.limit_tokens -= units;
        }
    }

    /// Delays the backend's next requests beyond reservations, if this one is beyond its reservation or is
    /// background work.
    ///
    /// Where a window is below its initial size, many gateways that send only background work would still
    /// fill the backend and keep short requests of other gateways from meeting their objectives. So the gap
    /// between background requests grows in proportion to their objective.
    fn delay_next_requests(&mut self, id: RequestId, index: usize) {
        use rand::Rng;
        let Some(open) = self.requests.get(&id) else { return };
        let session = &self.sessions.all[open.session];
        if session.reservation_tokens >= open.request.units && !open.background {
            return;
        }
        let backend = &mut self.backends.all[index];
        let gap_us = backend.latency_us.unwrap_or(self.shortest_objective_us / 4.0) / backend.window;
        let gap_us = gap_us * self.rng.0.random_range(PACING_JITTER);
        let objective_us = open.class.latency_objective.0 as f64;
        let stretch = if open.background { objective_us / self.shortest_objective_us } else { 0.0 };
        backend.next_unreserved_at = add_us(self.now, gap_us);
        backend.next_background_at = backend.next_background_at.max(add_us(self.now, gap_us * stretch));
    }
}
