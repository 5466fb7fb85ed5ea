//! The queues of a shard, and the selection of the next request to send.
use super::backend::WindowState;
use super::constants::{LATENCY_SMOOTHING, OPERATION_CREDITS, PAYLOAD_POOL_REQUESTS, REQUIRED_LATENCY_SHARE};
use super::session::Candidate;
use super::state::{Alarm, KeyQueue, Queue, QueueId, RequestState, Shard};
use super::Scheduler;
use crate::interface::{Action, KeyId, Micros, RequestId, ShardId};
use crate::time::{add_us, span_us};

/// All queued requests of a shard are examined for being late once the earliest possible response has moved
/// by this time, in microseconds. That costs time in proportion to their number, and clients decide how many
/// there are and how often something happens.
const EXAMINATION_STEP_US: i64 = 1_000;

/// The next step in dispatching a shard's queues.
enum DispatchStep {
    /// Send this request, which has been removed from its queue.
    Send(RequestId),
    /// Finish this request, which can't be sent in time.
    Expire(RequestId),
    /// Wait until this time, or until something happens.
    WaitUntil(Micros),
    /// Wait until something happens.
    Idle,
}

/// The result of scanning the first request of each queue.
#[derive(Default)]
struct QueueScan {
    /// Queues that may send now, by priority: those with reservation tokens first, and within these
    /// foreground before background.
    tiers: [Vec<QueueId>; 4],
    /// When the next of the other queues may send.
    retry_at: Option<Micros>,
    /// A request that can't be sent in time, at which the scan ended.
    expired: Option<RequestId>,
}

impl Scheduler {
    /// Dispatches all shards with queued requests.
    pub(super) fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.shards.iter().filter(|(_, shard)| !shard.queues.is_empty());
        let waiting: Vec<ShardId> = waiting.map(|(id, _)| *id).collect();
        for shard in waiting {
            self.dispatch(shard, actions);
        }
    }

    /// Appends a request to its queue.
    pub(super) fn enqueue_back(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some((shard, queue)) = self.queue_for(id) {
            queue.requests.push_back(id);
            self.dispatch(shard, actions);
        }
    }

    /// Puts a request at the front of its queue: a retry, or a request that has waited for its key.
    pub(super) fn enqueue_front(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some((shard, queue)) = self.queue_for(id) {
            queue.requests.push_front(id);
            self.dispatch(shard, actions);
        }
    }

    /// Returns the queue of a request that is about to be queued, with its units already added.
    fn queue_for(&mut self, id: RequestId) -> Option<(ShardId, &mut Queue)> {
        let open = self.requests.get_mut(&id)?;
        open.state = RequestState::Queued;
        let (id, queue_id) = (open.shard, open.queue_id());
        let shard = self.shards.entry(id).or_default();
        if open.due_at < shard.none_due_before {
            shard.none_due_before = Micros::default();
        }
        let queue = shard.queues.entry(queue_id).or_default();
        queue.units += open.request.units;
        Some((id, queue))
    }

    /// Queues the first request of a key if no earlier one is in flight and the key isn't blocked.
    pub(super) fn advance_key(&mut self, key: &KeyId, actions: &mut Vec<Action>) {
        let Some(KeyQueue { requests, blocked_until }) = self.keys.get(key) else { return };
        if *blocked_until > self.now {
            self.alarms.insert((*blocked_until, Alarm::Unblock(key.clone())));
            return;
        }
        let Some(&id) = requests.front() else {
            self.keys.remove(key);
            return;
        };
        if self.requests.get(&id).is_some_and(|open| open.state == RequestState::Blocked) {
            self.enqueue_front(id, actions);
        }
    }

    /// Sends all requests that the shard's backend may be sent now, and sets an alarm for the next ones.
    pub(super) fn dispatch(&mut self, shard: ShardId, actions: &mut Vec<Action>) {
        loop {
            self.finish_late_requests(shard, actions);
            match self.choose_next_step(shard) {
                DispatchStep::Send(id) => self.send(id, actions),
                DispatchStep::Expire(id) => self.finish(id, actions),
                DispatchStep::WaitUntil(at) => return self.set_dispatch_alarm(shard, at),
                DispatchStep::Idle => return,
            }
        }
    }

    /// Sets the alarm of a shard: only the earliest one is kept, and it is always in the future.
    fn set_dispatch_alarm(&mut self, id: ShardId, at: Micros) {
        let at = at.max(Micros(self.now.0 + 1));
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if shard.alarm_at <= self.now || at < shard.alarm_at {
            self.alarms.remove(&(shard.alarm_at, Alarm::Dispatch(id)));
            self.alarms.insert((at, Alarm::Dispatch(id)));
            shard.alarm_at = at;
        }
    }

    /// Finishes queued requests that can no longer meet their objective: a late response has little value and
    /// would delay the following ones too. No request can be served before the ejection of its backend ends.
    fn finish_late_requests(&mut self, id: ShardId, actions: &mut Vec<Action>) {
        let required_us = REQUIRED_LATENCY_SHARE * self.expected_latency_us(id);
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let ejected_until = shard.active_backend.map(|index| self.backends.all[index].ejected_until);
        let soonest = ejected_until.map_or(self.now, |until| until.max(self.now));
        let earliest_response = add_us(soonest, required_us);
        if earliest_response.0 - shard.none_due_before.0 < EXAMINATION_STEP_US {
            return;
        }
        shard.none_due_before = earliest_response;
        let (requests, mut late) = (&self.requests, Vec::new());
        shard.queues.retain(|_, queue| {
            queue.requests.retain(|id| {
                let is_late = requests.get(id).is_none_or(|open| open.due_at < earliest_response);
                late.extend(is_late.then_some(*id));
                !is_late
            });
            !queue.requests.is_empty()
        });
        for id in late {
            self.finish(id, actions);
        }
    }

    /// Selects the shard's next request: reservations first, then weighted round robin.
    fn choose_next_step(&mut self, id: ShardId) -> DispatchStep {
        let Some(shard) = self.shards.get(&id).filter(|shard| !shard.queues.is_empty()) else {
            return DispatchStep::Idle;
        };
        let Some(index) = shard.active_backend else { return DispatchStep::Idle };
        let backend = &self.backends.all[index];
        if backend.ejected_until > self.now {
            return DispatchStep::WaitUntil(backend.ejected_until);
        }
        match backend.window_state(self.now) {
            WindowState::Open => {}
            WindowState::OpensAt(at) => return DispatchStep::WaitUntil(at),
            WindowState::Full => return DispatchStep::Idle,
        }
        let scan = self.scan_queues(id, index);
        if let Some(id) = scan.expired {
            return DispatchStep::Expire(id);
        }
        let Some(tier) = scan.tiers.iter().find(|tier| !tier.is_empty()) else {
            return scan.retry_at.map_or(DispatchStep::Idle, DispatchStep::WaitUntil);
        };
        self.dequeue_next(id, tier).map_or(DispatchStep::Idle, DispatchStep::Send)
    }

    /// Examines the first request of each queue, starting where the round robin continues.
    fn scan_queues(&mut self, id: ShardId, index: usize) -> QueueScan {
        let mut scan = QueueScan::default();
        let required_us = REQUIRED_LATENCY_SHARE * self.expected_latency_us(id);
        let slow_start_window_us = self.settings.slow_start.window.0 as f64;
        // A gateway that has just started doesn't know what it sent to the backend before.
        let is_new = self.started_at.is_none_or(|at| span_us(at, self.now) < slow_start_window_us);
        let backend = &self.backends.all[index];
        let Some(Shard { queues, next_queue, .. }) = self.shards.get(&id) else { return scan };
        for (queue_id, queue) in queues.range(*next_queue..).chain(queues.range(..*next_queue)) {
            let Some(open) = queue.requests.front().and_then(|id| self.requests.get(id)) else { continue };
            let units = open.request.units;
            let session = &mut self.sessions.all[queue_id.session];
            session.refill(&self.settings, self.now);
            let candidate =
                Candidate { units, background: queue_id.background, is_first_attempt: open.attempts == 0 };
            let mut ready_at = session.ready_at(&self.settings, backend, &candidate);
            if open.due_at < add_us(ready_at, required_us) {
                scan.expired = Some(open.request.id);
                return scan;
            }
            let excess = backend.slow_start.excess(&self.settings, self.now, units, 0.0);
            if excess.is_some_and(|windows| windows > 0.0 || is_new) {
                let retry_us = slow_start_window_us * LATENCY_SMOOTHING + 1.0;
                ready_at = ready_at.max(add_us(self.now, retry_us));
            }
            if ready_at > self.now {
                scan.retry_at = Some(scan.retry_at.map_or(ready_at, |at| at.min(ready_at)));
                continue;
            }
            let payload_pool = PAYLOAD_POOL_REQUESTS * self.settings.max_request_units;
            let has_payload_credits = session.units_in_flight + units <= payload_pool;
            if session.operations_in_flight < OPERATION_CREDITS && has_payload_credits {
                let is_unreserved = session.reservation_tokens < units;
                scan.tiers[2 * usize::from(is_unreserved) + usize::from(queue_id.background)].push(*queue_id);
            }
        }
        scan
    }

    /// Removes the next request from these queues, by deficit round robin with the plans' weights.
    fn dequeue_next(&mut self, id: ShardId, queue_ids: &[QueueId]) -> Option<RequestId> {
        let shard = self.shards.get_mut(&id)?;
        let queue_id = loop {
            let has_sufficient_deficit = |queue_id: &&QueueId| {
                let queue = &shard.queues[queue_id];
                let first = queue.requests.front().and_then(|id| self.requests.get(id));
                first.is_some_and(|open| queue.deficit >= open.request.units)
            };
            if let Some(queue_id) = queue_ids.iter().find(has_sufficient_deficit) {
                break *queue_id;
            }
            for queue_id in queue_ids {
                let weight = self.settings.plans[self.sessions.all[queue_id.session].plan].weight;
                let quantum = weight * self.settings.mean_request_units;
                shard.queues.entry(*queue_id).or_default().deficit += quantum;
            }
        };
        shard.next_queue = queue_id;
        let queue = shard.queues.entry(queue_id).or_default();
        let id = queue.requests.pop_front()?;
        let units = self.requests.get(&id).map_or(0.0, |open| open.request.units);
        queue.units -= units;
        queue.deficit = (queue.deficit - units).max(0.0);
        if queue.requests.is_empty() {
            shard.queues.remove(&queue_id);
        }
        Some(id)
    }
}
