//! The queues of a shard, and which request is sent next.
use super::backend::WindowState;
use super::constants::{LATENCY_SMOOTHING, OPERATION_CREDITS, PAYLOAD_POOL_REQUESTS, REQUIRED_LATENCY_SHARE};
use super::session::Candidate;
use super::state::{Alarm, KeyQueue, Lane, Queue, RequestState, Shard};
use super::Scheduler;
use crate::interface::{Action, KeyId, Micros, RequestId, ShardId};
use crate::time::{later, span_us};

/// What a shard's queues have to do next.
enum Turn {
    /// Send this request; it is no longer queued.
    Send(RequestId),
    /// Finish this request: its turn won't come in time.
    Expire(RequestId),
    /// Nothing before then, unless something happens.
    WaitUntil(Micros),
    /// Nothing, unless something happens.
    Idle,
}

/// What a look at the first request of each lane shows.
#[derive(Default)]
struct LaneScan {
    /// Lanes that may send now: with reservation tokens before others, and foreground before background.
    tiers: [Vec<Lane>; 4],
    /// When the next of the others may send.
    retry_at: Option<Micros>,
    /// A request whose turn won't come in time; the scan ended there.
    expired: Option<RequestId>,
}

impl Scheduler {
    /// Sends what may be sent, at all shards.
    pub(super) fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.shards.iter().filter(|(_, shard)| !shard.queues.is_empty());
        let waiting: Vec<ShardId> = waiting.map(|(id, _)| *id).collect();
        for shard in waiting {
            self.dispatch(shard, actions);
        }
    }

    /// Puts a request at the end of its lane.
    pub(super) fn enqueue_back(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some((shard, queue)) = self.queue_for(id) {
            queue.requests.push_back(id);
            self.dispatch(shard, actions);
        }
    }

    /// Puts a request at the front of its lane: one to be retried, or one that has waited for its key.
    pub(super) fn enqueue_front(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some((shard, queue)) = self.queue_for(id) {
            queue.requests.push_front(id);
            self.dispatch(shard, actions);
        }
    }

    /// The queue that a request is about to join; its units are added to it.
    fn queue_for(&mut self, id: RequestId) -> Option<(ShardId, &mut Queue)> {
        let open = self.requests.get_mut(&id)?;
        open.state = RequestState::Queued;
        let (shard, lane) = (open.shard, open.lane());
        let queue = self.shards.entry(shard).or_default().queues.entry(lane).or_default();
        queue.units += open.request.units;
        Some((shard, queue))
    }

    /// Queues the first request of a key, once no earlier one is in flight and the key isn't blocked.
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

    /// Sends what the shard's backend may be sent now, and sets the alarm for when it may be sent more.
    pub(super) fn dispatch(&mut self, shard: ShardId, actions: &mut Vec<Action>) {
        loop {
            self.finish_late(shard, actions);
            match self.choose(shard) {
                Turn::Send(id) => self.send(id, actions),
                Turn::Expire(id) => self.finish(id, actions),
                Turn::WaitUntil(at) => return self.set_dispatch_alarm(shard, at),
                Turn::Idle => return,
            }
        }
    }

    /// Sets the alarm of a shard: one for each shard, the earliest, and never for a moment that has passed.
    fn set_dispatch_alarm(&mut self, id: ShardId, at: Micros) {
        let at = at.max(Micros(self.now.0 + 1));
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if shard.alarm_at <= self.now || at < shard.alarm_at {
            self.alarms.remove(&(shard.alarm_at, Alarm::Dispatch(id)));
            self.alarms.insert((at, Alarm::Dispatch(id)));
            shard.alarm_at = at;
        }
    }

    /// Finishes queued requests that can no longer meet their objective: a late response is worth little,
    /// and would make the next ones late too. None counts as served before its backend's ejection ends.
    fn finish_late(&mut self, id: ShardId, actions: &mut Vec<Action>) {
        let required_us = REQUIRED_LATENCY_SHARE * self.expected_latency_us(id);
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let ejected_until = shard.active_backend.map(|index| self.backends.all[index].ejected_until);
        let soonest = ejected_until.map_or(self.now, |until| until.max(self.now));
        let earliest_response = later(soonest, required_us);
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

    /// Chooses the shard's next request: reservations first, then weighted round robin.
    fn choose(&mut self, id: ShardId) -> Turn {
        let Some(shard) = self.shards.get(&id).filter(|shard| !shard.queues.is_empty()) else {
            return Turn::Idle;
        };
        let Some(index) = shard.active_backend else { return Turn::Idle };
        let backend = &self.backends.all[index];
        if backend.ejected_until > self.now {
            return Turn::WaitUntil(backend.ejected_until);
        }
        match backend.window_state(self.now) {
            WindowState::Open => {}
            WindowState::OpensAt(at) => return Turn::WaitUntil(at),
            WindowState::Full => return Turn::Idle,
        }
        let scan = self.scan_lanes(id, index);
        if let Some(id) = scan.expired {
            return Turn::Expire(id);
        }
        let Some(tier) = scan.tiers.iter().find(|tier| !tier.is_empty()) else {
            return scan.retry_at.map_or(Turn::Idle, Turn::WaitUntil);
        };
        self.take_turn(id, tier).map_or(Turn::Idle, Turn::Send)
    }

    /// Looks at the first request of each lane, from the lane where the round robin goes on.
    fn scan_lanes(&mut self, id: ShardId, index: usize) -> LaneScan {
        let mut scan = LaneScan::default();
        let required_us = REQUIRED_LATENCY_SHARE * self.expected_latency_us(id);
        let slow_start_window_us = self.settings.slow_start.window.0 as f64;
        // A gateway that has just started doesn't know what it sent to a backend before.
        let is_new = self.started_at.is_none_or(|at| span_us(at, self.now) < slow_start_window_us);
        let backend = &self.backends.all[index];
        let Some(Shard { queues, next_lane, .. }) = self.shards.get(&id) else { return scan };
        for (lane, queue) in queues.range(*next_lane..).chain(queues.range(..*next_lane)) {
            let Some(open) = queue.requests.front().and_then(|id| self.requests.get(id)) else { continue };
            let units = open.request.units;
            let session = &mut self.sessions.all[lane.session];
            session.refill(&self.settings, self.now);
            let candidate =
                Candidate { units, background: lane.background, is_first_attempt: open.attempts == 0 };
            let mut ready_at = session.ready_at(&self.settings, backend, &candidate);
            if open.due_at < later(ready_at, required_us) {
                scan.expired = Some(open.request.id);
                return scan;
            }
            let excess = backend.slow_start.excess(&self.settings, self.now, units, 0.0);
            if excess.is_some_and(|windows| windows > 0.0 || is_new) {
                let retry_us = slow_start_window_us * LATENCY_SMOOTHING + 1.0;
                ready_at = ready_at.max(later(self.now, retry_us));
            }
            if ready_at > self.now {
                scan.retry_at = Some(scan.retry_at.map_or(ready_at, |at| at.min(ready_at)));
                continue;
            }
            let payload_pool = PAYLOAD_POOL_REQUESTS * self.settings.max_request_units;
            let has_payload_credits = session.units_in_flight + units <= payload_pool;
            if session.operations_in_flight < OPERATION_CREDITS && has_payload_credits {
                let is_unreserved = session.reservation_tokens < units;
                scan.tiers[2 * usize::from(is_unreserved) + usize::from(lane.background)].push(*lane);
            }
        }
        scan
    }

    /// Takes the next request out of these lanes, by deficit round robin weighted by the plans.
    fn take_turn(&mut self, id: ShardId, lanes: &[Lane]) -> Option<RequestId> {
        let shard = self.shards.get_mut(&id)?;
        let lane = loop {
            let has_turn = |lane: &&Lane| {
                let queue = &shard.queues[lane];
                let first = queue.requests.front().and_then(|id| self.requests.get(id));
                first.is_some_and(|open| queue.deficit >= open.request.units)
            };
            if let Some(lane) = lanes.iter().find(has_turn) {
                break *lane;
            }
            for lane in lanes {
                let weight = self.settings.plans[self.sessions.all[lane.session].plan].weight;
                let quantum = weight * self.settings.mean_request_units;
                shard.queues.entry(*lane).or_default().deficit += quantum;
            }
        };
        shard.next_lane = lane;
        let queue = shard.queues.entry(lane).or_default();
        let id = queue.requests.pop_front()?;
        let units = self.requests.get(&id).map_or(0.0, |open| open.request.units);
        queue.units -= units;
        queue.deficit = (queue.deficit - units).max(0.0);
        Some(id)
    }
}
