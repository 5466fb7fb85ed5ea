//! The maximum wait of a request, and its final response.
use super::constants::REQUIRED_LATENCY_SHARE;
use super::state::{Alarm, OpenRequest, RequestState, UnservedRequest};
use super::Scheduler;
use crate::interface::{Action, DeduplicationScope, Idempotency, Micros, RequestId};
use crate::time::add_us;

impl Scheduler {
    /// The time until which an attempt of the request may begin at its shard's backend, given its earlier
    /// attempts.
    pub(super) fn sendable_until(&self, open: &OpenRequest) -> Micros {
        let Some(execution) = open.possible_execution else { return Micros(i64::MAX) };
        match open.class.idempotency {
            Idempotency::Idempotent => Micros(i64::MAX),
            Idempotency::AtMostOnce => Micros(0),
            Idempotency::Deduplicated(scope) => {
                let entry = self.active_backend(open.shard).map(|backend| &backend.entry);
                let is_in_scope = entry.is_none_or(|entry| match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => execution.zone == entry.zone,
                    DeduplicationScope::Shard => execution.shard == entry.shard,
                });
                let window_us = open.class.deduplication_window.0 as f64;
                add_us(execution.sent_at, if is_in_scope { window_us } else { 0.0 })
            }
        }
    }

    /// Sets the alarm of a waiting request for the last moment at which it can still be served in time,
    /// whether it waits in a queue, for its key or for a backend. Returns false if that moment has passed,
    /// and the caller must finish the request now.
    pub(super) fn keep_waiting(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id).filter(|open| !open.is_in_flight()) else { return true };
        let latest = Micros(self.sendable_until(open).0 - 1).min(open.expires_at);
        let required_us = REQUIRED_LATENCY_SHARE * self.expected_latency_us(open.shard);
        let latest = add_us(open.due_at, -required_us).min(latest);
        self.alarms.remove(&(open.alarm_at, Alarm::Expire(id)));
        if latest > self.now {
            self.alarms.insert((latest, Alarm::Expire(id)));
            self.requests.entry(id).and_modify(|open| open.alarm_at = latest);
        }
        latest > self.now
    }

    /// Removes a request whose client has disconnected, once no attempt is in flight.
    pub(super) fn client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.get_mut(&id) {
            Some(open) if open.is_in_flight() => open.state = RequestState::Abandoned,
            _ => self.remove(id, actions),
        }
    }

    /// Sends the final response to a request: rejected if the client can safely try again, otherwise failed.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let (shard, queue_id, units) = (open.shard, open.queue_id(), open.request.units);
        let expected_us = self.expected_response_us(shard, queue_id, units);
        let Some(open) = self.requests.get(&id) else { return };
        let is_repeatable = matches!(
            open.class.idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated(DeduplicationScope::All)
        );
        let response = if open.possible_execution.is_none() || is_repeatable {
            let retry_after = self.retry_after(expected_us, open.class.latency_objective);
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        };
        let unserved = UnservedRequest {
            client_timeout_at: Micros(open.expires_at.0 + self.response_margin()),
            session: open.session,
            key: open.request.key.clone(),
            arrived_at: open.arrived_at,
        };
        self.expire_unserved();
        self.unserved.insert(unserved);
        actions.push(response);
        self.remove(id, actions);
    }

    /// Removes a queued request from its queue, and the queue once it is empty.
    fn remove_from_queue(&mut self, id: RequestId, open: &OpenRequest) {
        let Some(shard) = self.shards.get_mut(&open.shard) else { return };
        let queue_id = open.queue_id();
        let Some(queue) = shard.queues.get_mut(&queue_id) else { return };
        queue.units -= open.request.units;
        queue.requests.retain(|other| *other != id);
        if queue.requests.is_empty() {
            shard.queues.remove(&queue_id);
        }
    }

    /// Removes an open request and lets the next one with its key proceed.
    pub(super) fn remove(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else { return };
        self.sessions.all[open.session].open_requests -= 1;
        self.alarms.remove(&(open.alarm_at, Alarm::Expire(id)));
        if open.state == RequestState::Queued {
            self.remove_from_queue(id, &open);
        }
        let Some(key) = open.request.key.filter(|_| open.class.in_order) else { return };
        self.keys.entry(key.clone()).and_modify(|queue| queue.requests.retain(|other| *other != id));
        self.advance_key(&key, actions);
    }
}
