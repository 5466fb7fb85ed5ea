//! Admission: how long a request would take, when a rejected client may return, and where a new object is
//! placed.
use super::backend::Backend;
use super::session::Candidate;
use super::state::Lane;
use super::Scheduler;
use crate::interface::{Micros, ShardId};
use crate::time::{later, span_us};

impl Scheduler {
    /// The backend that a shard's requests are sent to.
    pub(super) fn active_backend(&self, shard: ShardId) -> Option<&Backend> {
        let index = self.shards.get(&shard).and_then(|shard| shard.active_backend)?;
        Some(&self.backends.all[index])
    }

    /// What the latency of a backend counts as that hasn't responded lately: the average, and never so much
    /// that nothing would be sent to it.
    pub(super) fn average_latency_us(&self) -> f64 {
        (self.latencies.total_us / self.latencies.count.max(1.0)).min(self.shortest_objective_us / 2.0)
    }

    /// Expected latency of an attempt at the shard's backend; the average where it has none.
    pub(super) fn expected_latency_us(&self, shard: ShardId) -> f64 {
        let (average_us, sharing) = (self.average_latency_us(), self.sharing.min(1.0));
        let backend = self.active_backend(shard);
        backend.map_or(average_us, |backend| backend.expected_latency_us(self.now, average_us, sharing))
    }

    /// When a rejected client may return: once such a request can be expected to be served within its
    /// objective. None where clients get no Retry-After.
    pub(super) fn retry_after(&self, expected_us: Option<f64>, objective: Micros) -> Option<Micros> {
        let has_latencies = self.latencies.count > 0.0;
        let usual_us =
            if has_latencies { self.average_latency_us() } else { self.shortest_objective_us / 2.0 };
        let excess_us = expected_us.map_or(0.0, |us| us - objective.0 as f64);
        let longest = self.settings.max_retry_after;
        (longest.0 > 0).then(|| later(Micros(0), excess_us.max(usual_us)).min(longest))
    }

    /// Expected time until the response to a new request of that lane, at the rate of its session: its wait
    /// here, and the attempt. None where the shard has no backend.
    pub(super) fn expected_response_us(&mut self, shard: ShardId, lane: Lane, units: f64) -> Option<f64> {
        self.sessions.all[lane.session].refill(&self.settings, self.now);
        let index = self.shards.get(&shard)?.active_backend?;
        let backend = &self.backends.all[index];
        let session = &self.sessions.all[lane.session];
        let latency_us = self.expected_latency_us(shard).max(1.0);
        let reserved = session.reservation_tokens;
        let window = if reserved >= units { backend.window.max(1.0) } else { backend.window };
        let units_per_us = window * self.settings.mean_request_units / latency_us;
        let Backlog { own_units, other_units, weight_share } = self.backlog(shard, lane);
        let total_units = own_units + other_units;

        // A backend that warms up takes what its allowance leaves: the queue and this request have to fit
        // in turn.
        let slow_start = &backend.slow_start;
        let excess = slow_start.excess(&self.settings, self.now, units, total_units);
        let slow_start_window_us = self.settings.slow_start.window.0 as f64;
        let slow_start_us = excess.map_or(0.0, |windows| windows.max(0.0) * slow_start_window_us);

        let share = if reserved >= own_units + units { weight_share.max(0.5) } else { weight_share };
        let ahead =
            Candidate { units: own_units + units, background: lane.background, is_first_attempt: true };
        let allowed_at = session.ready_at(&self.settings, backend, &ahead);
        let ejected_us = span_us(self.now, backend.ejected_until);
        let blocked_us = ejected_us.max(span_us(self.now, allowed_at)).max(0.0);
        let queueing_us = (own_units / share).min(total_units) / units_per_us;
        Some(queueing_us.max(slow_start_us).max(blocked_us) + latency_us)
    }

    /// What waits at a shard and would be sent before, or in turns with, a new request of the lane.
    fn backlog(&self, shard: ShardId, lane: Lane) -> Backlog {
        let weight = |session: usize| self.settings.plans[self.sessions.all[session].plan].weight;
        let own_weight = weight(lane.session);
        let (mut own_units, mut other_units, mut weights) = (0.0, 0.0, own_weight);
        let queues = self.shards.get(&shard).into_iter().flat_map(|shard| &shard.queues);
        for (other, queue) in queues.filter(|(other, _)| other.background <= lane.background) {
            if other.session == lane.session {
                own_units += queue.units;
            } else {
                weights += weight(other.session);
                other_units += queue.units;
            }
        }
        Backlog { own_units, other_units, weight_share: own_weight / weights }
    }

    /// Places a new object: at the shard with the shortest expected response.
    pub(super) fn place(&mut self, lane: Lane, units: f64) -> ShardId {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut best = (f64::INFINITY, shards.first().copied().unwrap_or(ShardId(0)));
        for shard in shards {
            // A backend that has failed since it answered last may fail again. That matters for placement
            // only: data that it already holds can be served nowhere else.
            let failures = self.active_backend(shard).map_or(0.0, |backend| f64::from(backend.failures));
            let risk_us = self.settings.connect_timeout.0 as f64 * failures;
            if let Some(expected_us) = self.expected_response_us(shard, lane, units) {
                let cost_us = expected_us + risk_us;
                best = if cost_us < best.0 { (cost_us, shard) } else { best };
            }
        }
        best.1
    }
}

/// What waits at a shard and concerns a new request.
struct Backlog {
    /// Units of its own session.
    own_units: f64,
    /// Units of other sessions.
    other_units: f64,
    /// Its session's part of the weights of all sessions that wait.
    weight_share: f64,
}
