//! A gather collects the responses for one answer.
//!
//! - It ends once all responses have arrived or the waits for the others have expired. A quorum does not end it early: it
//!   keeps waiting for the missing responses, because a complete answer in time is worth more than a partial one. The wait
//!   for a suspect zone is short.
//! - It fails as soon as no answer is possible, with a retry time if a rejected request got one.
//! - A response whose wait has expired is still accepted until the answer is produced.
//! - All waits end by the client's deadline minus the reply margin. Responses after the answer do not change it; they are
//!   counted, and their latency is recorded for the zone.
use crate::answer::{Answer, MissingReason};
use crate::memory::Size;
use crate::policy::Policy;
use crate::shared::SharedState;
use crate::slot::{Slot, Waiting};
use crate::zone::ZoneHealth;
use crate::zone_tracker::{WaitPlan, ZoneTracker};
use cluster_types::{Time, Zone};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The failure reason of a response that exceeds its limit.
pub(crate) const TOO_LARGE: &str = "too large";

/// The outcome of a shard request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardResponse<V> {
    /// It succeeded with a value.
    Value(V),
    /// It was rejected by admission control, possibly with a retry time. The gather does not send it again.
    Rejected(Option<Duration>),
    /// It failed.
    Failed {
        /// A short reason.
        reason: Cow<'static, str>,
        /// Whether a backend answered; if so, the failure does not count against the zone.
        is_zone_reachable: bool,
    },
}

/// An event for a gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatherEvent<V> {
    /// A shard request ended.
    Response {
        /// The request, by its place in the policy.
        request: usize,
        /// Its outcome.
        response: ShardResponse<V>,
    },
    /// Time has passed.
    Tick,
    /// The health of a zone changed.
    ZoneHealthChanged,
    /// The client disconnected.
    ClientLeft,
}

/// An action for the caller to perform.
#[derive(Debug)]
pub enum GatherAction<V> {
    /// Send a shard request.
    Send {
        /// The request, by its place in the policy.
        request: usize,
        /// When it must have ended.
        deadline: Time,
    },
    /// The value of a shard request is no longer needed. Its outcome must still be reported if there is one.
    Abandon {
        /// The request, by its place in the policy.
        request: usize,
    },
    /// The gather's only answer.
    Answer(Answer<V>),
}

/// One gather.
#[derive(Debug)]
pub struct Gather<V> {
    pub(crate) policy: Arc<Policy>,
    deadline: Time,
    remote_deadline: Time,
    pub(crate) slots: Vec<Slot<V>>,
    /// Whether each request reached its zone; `None` if it has not ended or that is unknown.
    pub(crate) reached: Vec<Option<bool>>,
    pub(crate) is_over: bool,
}

impl<V: Size> Gather<V> {
    /// Starts a gather: sends the requests that have memory and whose zone is worth trying. The client stops waiting at
    /// `client_deadline`.
    pub fn new(
        policy: Arc<Policy>,
        now: Time,
        client_deadline: Time,
        shared: &mut SharedState,
        out: &mut Vec<GatherAction<V>>,
    ) -> Self {
        let deadline = (client_deadline - policy.reply_margin()).max(now);
        let remote_deadline = (now + policy.remote_wait(client_deadline.since(now))).min(deadline);
        let slots = policy.requests.iter().map(|_| Slot::missing(MissingReason::Late)).collect();
        let reached = vec![None; policy.requests.len()];
        let mut gather = Gather { policy, deadline, remote_deadline, slots, reached, is_over: false };
        shared.counters.started += 1;
        if now < deadline {
            gather.send_requests(now, shared, out);
        }
        gather.conclude_if_settled(now, shared, out);
        gather
    }

    /// When to stop waiting for responses of a zone at the latest.
    pub(crate) fn zone_deadline(&self, zones: &ZoneTracker, zone: &Zone) -> Time {
        if zones.is_remote(zone) {
            self.remote_deadline
        } else {
            self.deadline
        }
    }

    fn send_requests(&mut self, now: Time, shared: &mut SharedState, out: &mut Vec<GatherAction<V>>) {
        let policy = self.policy.clone();
        let plans = self.plan_waits(now, shared);
        let mut reserved_bytes = 0u64;
        for request in policy.memory_order() {
            let Some(plan) = plans.get(&policy.requests[request].zone) else { continue };
            let bytes = policy.max_response_bytes(request);
            let fits = reserved_bytes.saturating_add(bytes) <= policy.max_total_bytes
                && bytes <= shared.budget.capacity();
            self.slots[request] = if !plan.is_sent {
                shared.counters.not_sent += 1;
                Slot::missing(MissingReason::ZoneEjected)
            } else if !fits {
                shared.counters.too_large += 1;
                Slot::missing(MissingReason::Failed(TOO_LARGE.into()))
            } else if let Some(reservation) = shared.budget.reserve(bytes) {
                reserved_bytes += bytes;
                out.push(GatherAction::Send { request, deadline: self.deadline });
                let wait_until = now + plan.wait;
                let probe_until = if plan.is_probe { wait_until } else { now };
                Slot::Waiting(Waiting { sent_at: now, wait_until, probe_until, reservation })
            } else {
                shared.counters.out_of_memory += 1;
                Slot::missing(MissingReason::Rejected)
            };
        }
    }

    /// Whether to send requests to each zone, and how long to wait for it.
    fn plan_waits(&self, now: Time, shared: &mut SharedState) -> BTreeMap<Zone, WaitPlan> {
        let policy = &self.policy;
        let is_healthy =
            |request: usize| shared.zones.health(now, &policy.requests[request].zone) == ZoneHealth::Healthy;
        // Whether the healthy zones alone don't suffice for an answer.
        let is_needed = !policy.is_answer(is_healthy);
        let mut plans = BTreeMap::new();
        for zone in policy.requests_by_zone().into_keys() {
            let remaining = self.zone_deadline(&shared.zones, zone).since(now);
            let plan = shared.zones.plan_wait(now, zone, remaining, is_needed);
            shared.counters.probes += u64::from(plan.is_probe);
            plans.insert(zone.clone(), plan);
        }
        plans
    }

    /// Handles an event and appends the resulting actions. An unexpected response is counted and otherwise ignored.
    pub fn handle(
        &mut self,
        now: Time,
        event: GatherEvent<V>,
        shared: &mut SharedState,
        out: &mut Vec<GatherAction<V>>,
    ) {
        if !self.is_over && now > self.deadline && !matches!(event, GatherEvent::ClientLeft) {
            // The wakeup was late: a response that arrives only now is past the deadline, so conclude without it.
            shared.counters.overdue += 1;
            self.conclude(now, shared, out);
        }
        match event {
            GatherEvent::Response { request, response } if self.is_over => {
                self.handle_late_response(now, request, response, shared);
            }
            GatherEvent::Response { request, response } => {
                self.handle_outcome(now, request, response, shared)
            }
            GatherEvent::ZoneHealthChanged if !self.is_over => self.update_waits(now, shared),
            GatherEvent::ClientLeft if !self.is_over => {
                shared.counters.client_left += 1;
                self.record_zone_outcomes(now, shared);
                self.abandon_pending(out);
            }
            GatherEvent::ClientLeft | GatherEvent::ZoneHealthChanged | GatherEvent::Tick => {}
        }
        self.conclude_if_settled(now, shared, out);
    }

    /// When a [`GatherEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let last = self.slots.iter().filter_map(Slot::wait_until).max()?;
        (!self.is_over).then(|| last.min(self.deadline))
    }

    /// Whether the gather has ended: answered, or its client disconnected.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Whether the gather and all its requests have ended.
    pub fn is_finished(&self) -> bool {
        self.is_over && !self.slots.iter().any(|slot| matches!(slot, Slot::Abandoned { .. }))
    }

    /// The bytes that it has reserved of the memory budget.
    pub fn reserved_bytes(&self) -> u64 {
        self.slots.iter().map(Slot::reserved_bytes).sum()
    }

    /// When its last request must have ended.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    fn conclude_if_settled(&mut self, now: Time, shared: &mut SharedState, out: &mut Vec<GatherAction<V>>) {
        let is_possible = self.policy.is_answer(|request| self.slots[request].is_possible());
        let is_waiting = self.slots.iter().filter_map(Slot::wait_until).any(|until| until > now);
        let is_worth_waiting = is_possible && is_waiting && now < self.deadline;
        if !self.is_over && !is_worth_waiting {
            self.conclude(now, shared, out);
        }
    }
}
