//! Arrivals of requests: admits or rejects each.
use super::constants::RESPONSE_MARGIN_TICKS;
use super::state::{OpenRequest, QueueId, UnservedRequest};
use super::Scheduler;
use crate::interface::{Action, Micros, Request};
use crate::time::{prune_until, span_us};

/// Maximum number of known shards, including those known only from requests.
const MAX_SHARDS: usize = 1024;

impl Scheduler {
    /// Queues or sends a request, or rejects it if it can't be served within its objective.
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
        let queue_id = QueueId { background: self.is_background[request.class], session };
        let open = self.open_request(request, queue_id);
        let expected_us = self.expected_response_us(open.shard, queue_id, open.request.units);
        if let Some(expected_us) = expected_us.filter(|us| *us > span_us(self.now, open.due_at)) {
            return self.reject_on_arrival(open, expected_us, actions);
        }
        self.admit(open, actions);
    }

    /// Whether the request has a known class and plan, and a valid size and timeout.
    fn is_well_formed(&self, request: &Request) -> bool {
        request.class < self.settings.classes.len()
            && request.plan < self.settings.plans.len()
            && request.units.is_finite()
            && request.units >= 0.0
            && request.timeout.0 > 0
    }

    /// Returns the session of the request's volume, refilled up to now. `None` if there are too many known
    /// shards or volumes.
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

    /// Creates the record of a request that may be admitted, with its shard and its deadlines.
    ///
    /// When a client retries, the objective counts from the arrival of its first try.
    fn open_request(&mut self, request: Request, queue_id: QueueId) -> OpenRequest {
        let session = queue_id.session;
        let shard = request.shard.unwrap_or_else(|| self.place(queue_id, request.units));
        let client_timeout_at = Micros(self.now.0 + request.timeout.0);
        let first_try = self.find_original_try(&request, session, client_timeout_at);
        self.record_reserved_demand(session, shard, request.units, first_try.is_none());
        let first_try = first_try.filter(|first_try| self.unserved.remove(first_try));
        let arrived_at = first_try.map_or(self.now, |first_try| first_try.arrived_at);
        let class = self.settings.classes[request.class].clone();
        let objective_at = Micros(arrived_at.0 + class.latency_objective.0);
        OpenRequest {
            request,
            class,
            background: queue_id.background,
            session,
            shard,
            arrived_at,
            due_at: objective_at.min(client_timeout_at),
            expires_at: Micros(client_timeout_at.0 - self.response_margin()),
            ..OpenRequest::default()
        }
    }

    /// How long before its client's timeout a queued request gets its response, in microseconds.
    pub(super) fn response_margin(&self) -> i64 {
        RESPONSE_MARGIN_TICKS * self.settings.tick.0
    }

    /// Returns the unserved request that the client now retries.
    ///
    /// It has the same key, and its client times out at the same time for both tries. A short timeout alone
    /// doesn't identify a retry, since clients differ in their timeouts.
    fn find_original_try(
        &self,
        request: &Request,
        session: usize,
        client_timeout_at: Micros,
    ) -> Option<UnservedRequest> {
        let margin = self.response_margin();
        let from = UnservedRequest::lower_bound(Micros(client_timeout_at.0 - margin), self.now);
        let to = UnservedRequest::lower_bound(Micros(client_timeout_at.0 + margin), self.now);
        let is_same =
            |unserved: &&UnservedRequest| unserved.session == session && unserved.key == request.key;
        self.unserved.range(from..to).find(is_same).cloned()
    }

    fn reject_on_arrival(&mut self, open: OpenRequest, expected_us: f64, actions: &mut Vec<Action>) {
        let id = open.request.id;
        let retry_after = self.retry_after(Some(expected_us), open.class.latency_objective);
        self.unserved.insert(UnservedRequest {
            client_timeout_at: Micros(self.now.0 + open.request.timeout.0),
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
