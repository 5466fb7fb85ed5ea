//! Arrivals: admits a request, or rejects it at once.
use super::constants::RESPONSE_MARGIN_TICKS;
use super::state::{Lane, OpenRequest, UnservedRequest};
use super::Scheduler;
use crate::interface::{Action, Micros, Request};
use crate::time::{prune_until, span_us};

/// Maximum number of known shards, including those that only clients name.
const MAX_SHARDS: usize = 1024;

impl Scheduler {
    /// Admits a request to its queue or sends it; rejects it where it can't be served within its objective.
    pub(super) fn request_arrived(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if let Some(budget) = &self.settings.retry_budget {
            prune_until(&mut self.arrivals, Micros(self.now.0 - budget.window.0));
            self.arrivals.push_back(self.now);
        }
        if !self.is_well_formed(&request) {
            return actions.push(Action::Reject { id, retry_after: None });
        }
        let Some(session) = self.session_of(&request) else {
            let objective = self.settings.classes[request.class].latency_objective;
            return actions.push(Action::Reject { id, retry_after: self.retry_after(None, objective) });
        };
        let lane = Lane { background: self.is_background[request.class], session };
        let open = self.open_request(request, lane);
        let expected_us = self.expected_response_us(open.shard, lane, open.request.units);
        if let Some(expected_us) = expected_us.filter(|us| *us > span_us(self.now, open.due_at)) {
            return self.reject_on_arrival(open, expected_us, actions);
        }
        self.admit(open, actions);
    }

    /// Whether the request names a known class and plan, and its size and timeout make sense.
    fn is_well_formed(&self, request: &Request) -> bool {
        request.class < self.settings.classes.len()
            && request.plan < self.settings.plans.len()
            && request.units.is_finite()
            && request.units >= 0.0
            && request.timeout.0 > 0
    }

    /// The session of the request's volume, refilled up to now. None where too many shards or volumes are
    /// known.
    fn session_of(&mut self, request: &Request) -> Option<usize> {
        let gateways = f64::from(request.volume_gateways.clamp(1, self.settings.gateways));
        let is_new_shard = request.shard.is_some_and(|shard| !self.shards.contains_key(&shard));
        let is_shard_refused = is_new_shard && self.shards.len() >= MAX_SHARDS;
        let index = self.find_or_create_session(request, gateways).filter(|_| !is_shard_refused)?;
        let session = &mut self.sessions.all[index];
        session.refill(&self.settings, self.now);
        session.gateways = gateways.max(session.gateways);
        Some(index)
    }

    /// The record of an admissible request: its shard, and its times.
    ///
    /// The objective of a client's further try runs from the first one.
    fn open_request(&mut self, request: Request, lane: Lane) -> OpenRequest {
        let session = lane.session;
        let shard = request.shard.unwrap_or_else(|| self.place(lane, request.units));
        let gives_up_at = Micros(self.now.0 + request.timeout.0);
        let first_try = self.find_first_try(&request, session, gives_up_at);
        self.count_demand(session, shard, request.units, first_try.is_none());
        let first_try = first_try.filter(|first_try| self.unserved.remove(first_try));
        let arrived_at = first_try.map_or(self.now, |first_try| first_try.arrived_at);
        let class = self.settings.classes[request.class].clone();
        let objective_at = Micros(arrived_at.0 + class.latency_objective.0);
        OpenRequest {
            request,
            class,
            background: lane.background,
            session,
            shard,
            arrived_at,
            due_at: objective_at.min(gives_up_at),
            expires_at: Micros(gives_up_at.0 - self.response_margin()),
            ..OpenRequest::default()
        }
    }

    /// How long before its client gives up a queued request gets its response, in microseconds.
    pub(super) fn response_margin(&self) -> i64 {
        RESPONSE_MARGIN_TICKS * self.settings.tick.0
    }

    /// The unserved request of which this is the client's further try.
    ///
    /// It has the same key, and its client gives up at the very time at which it would have given up the
    /// first. A short timeout alone says nothing: clients differ in how long they wait.
    fn find_first_try(
        &self,
        request: &Request,
        session: usize,
        gives_up_at: Micros,
    ) -> Option<UnservedRequest> {
        let margin = self.response_margin();
        let from = UnservedRequest::lower_bound(Micros(gives_up_at.0 - margin), self.now);
        let to = UnservedRequest::lower_bound(Micros(gives_up_at.0 + margin), self.now);
        let is_same =
            |unserved: &&UnservedRequest| unserved.session == session && unserved.key == request.key;
        self.unserved.range(from..to).find(is_same).cloned()
    }

    fn reject_on_arrival(&mut self, open: OpenRequest, expected_us: f64, actions: &mut Vec<Action>) {
        let id = open.request.id;
        let retry_after = self.retry_after(Some(expected_us), open.class.latency_objective);
        self.unserved.insert(UnservedRequest {
            gives_up_at: Micros(self.now.0 + open.request.timeout.0),
            session: open.session,
            key: open.request.key,
            arrived_at: open.arrived_at,
        });
        actions.push(Action::Reject { id, retry_after });
    }

    fn admit(&mut self, open: OpenRequest, actions: &mut Vec<Action>) {
        let id = open.request.id;
        let ordering_key = open.request.key.clone().filter(|_| open.class.in_order);
        self.sessions.all[open.session].open_requests += 1;
        self.requests.insert(id, open);
        if !self.keep_waiting(id) {
            return self.finish(id, actions);
        }
        let Some(key) = ordering_key else { return self.enqueue_back(id, actions) };
        self.keys.entry(key.clone()).or_default().requests.push_back(id);
        self.advance_key(&key, actions);
    }
}
