//! Admission control: expected response times, Retry-After, and placement of new objects.
use super::backend::Backend;
use super::session::Candidate;
use super::state::QueueId;
use super::Scheduler;
use crate::interface::{Micros, ShardId};
use crate::time::{add_us, span_us};

impl Scheduler {
    /// Returns the backend to which a shard's requests are sent.
    pub(super) fn active_backend(&self, shard: ShardId) -> Option<&Backend> {
        let index = self.shards.get(&shard).and_then(|shard| shard.active_backend)?;
        Some(&self.backends.all[index])
    }

    /// Latency to assume for a backend without recent responses: the average, capped so that requests are
    /// still sent to it.
    pub(super) fn average_latency_us(&self) -> f64 {
        (self.latencies.total_us / self.latencies.count.max(1.0)).min(self.shortest_objective_us / 2.0)
    }

    /// Expected latency of an attempt at the shard's backend, or the average if it has none.
    pub(super) fn expected_latency_us(&self, shard: ShardId) -> f64 {
        let (average_us, gateways_per_slot) = (self.average_latency_us(), self.gateways_per_slot.min(1.0));
        let backend = self.active_backend(shard);
        backend.map_or(average_us, |backend| {
            backend.expected_latency_us(self.now, average_us, gateways_per_slot)
        })
    }

    /// Retry-After of a rejected client: when such a request can be expected to be served within its
    /// objective. `None` if clients get no Retry-After.
    pub(super) fn retry_after(&self, expected_us: Option<f64>, objective: Micros) -> Option<Micros> {
        let has_latencies = self.latencies.count > 0.0;
        let usual_us =
            if has_latencies { self.average_latency_us() } else { self.shortest_objective_us / 2.0 };
        let excess_us = expected_us.map_or(0.0, |us| us - objective.0 as f64);
        let longest = self.settings.max_retry_after;
        (longest.0 > 0).then(|| add_us(Micros(0), excess_us.max(usual_us)).min(longest))
    }

    /// Expected time until the response to a new request of that queue, at the rate of its session: the wait
    /// in the queue plus the latency of the attempt. `None` if the shard has no backend.
    pub(super) fn expected_response_us(
        &mut self,
        shard: ShardId,
        queue_id: QueueId,
        units: f64,
    ) -> Option<f64> {
        self.sessions.all[queue_id.session].refill(&self.settings, self.now);
        let index = self.shards.get(&shard)?.active_backend?;
        let backend = &self.backends.all[index];
        let session = &self.sessions.all[queue_id.session];
        let latency_us = self.expected_latency_us(shard).max(1.0);
        let reserved = session.reservation_tokens;
        let window = if reserved >= units { backend.window.max(1.0) } else { backend.window };
        let units_per_us = window * self.settings.mean_request_units / latency_us;
        let Backlog { own_units, other_units, weight_share } = self.backlog(shard, queue_id);
        let total_units = own_units + other_units;

        // A backend in slow start accepts what its allowance leaves: the queued units and this request must
        // fit into it one after the other.
        let slow_start = &backend.slow_start;
        let excess = slow_start.excess(&self.settings, self.now, units, total_units);
        let slow_start_window_us = self.settings.slow_start.window.0 as f64;
        let slow_start_us = excess.map_or(0.0, |windows| windows.max(0.0) * slow_start_window_us);

        let share = if reserved >= own_units + units { weight_share.max(0.5) } else { weight_share };
        let ahead =
            Candidate { units: own_units + units, background: queue_id.background, is_first_attempt: true };
        let allowed_at = session.ready_at(&self.settings, backend, &ahead);
        let ejected_us = span_us(self.now, backend.ejected_until);
        let blocked_us = ejected_us.max(span_us(self.now, allowed_at)).max(0.0);
        let queueing_us = (own_units / share).min(total_units) / units_per_us;
        Some(queueing_us.max(slow_start_us).max(blocked_us) + latency_us)
    }

    /// Queued units of a shard that would be sent before a new request of the queue, or interleaved with it.
    fn backlog(&self, shard: ShardId, queue_id: QueueId) -> Backlog {
        let weight = |session: usize| self.settings.plans[self.sessions.all[session].plan].weight;
        let own_weight = weight(queue_id.session);
        let (mut own_units, mut other_units, mut weights) = (0.0, 0.0, own_weight);
        let queues = self.shards.get(&shard).into_iter().flat_map(|shard| &shard.queues);
        for (other, queue) in queues.filter(|(other, _)| other.background <= queue_id.background) {
            if other.session == queue_id.session {
                own_units += queue.units;
            } else {
                weights += weight(other.session);
                other_units += queue.units;
            }
        }
        Backlog { own_units, other_units, weight_share: own_weight / weights }
    }

    /// Selects a shard for a new object: the one with the shortest expected response time.
    pub(super) fn place(&mut self, queue_id: QueueId, units: f64) -> ShardId {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut best = (f64::INFINITY, shards.first().copied().unwrap_or(ShardId(0)));
        for shard in shards {
            // A backend that has failed since its last response may fail again. That matters only for
            // placement: data that it already holds can't be served by any other backend.
            let failures = self.active_backend(shard).map_or(0.0, |backend| f64::from(backend.failures));
            let risk_us = self.settings.connect_timeout.0 as f64 * failures;
            if let Some(expected_us) = self.expected_response_us(shard, queue_id, units) {
                let cost_us = expected_us + risk_us;
                best = if cost_us < best.0 { (cost_us, shard) } else { best };
            }
        }
        best.1
    }
}

/// The queued units that a new request competes with.
struct Backlog {
    /// Units of the request's own session.
    own_units: f64,
    /// Units of other sessions.
    other_units: f64,
    /// The share of the request's session in the weights of all sessions with queued requests.
    weight_share: f64,
}
