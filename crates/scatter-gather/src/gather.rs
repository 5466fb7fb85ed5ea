//! One answer in the making.
//!
//! - It ends as soon as nothing that it waits for is worth waiting for any more: all responses are in, or the waits of the
//!   others are over. With a quorum it still waits for the missing responses until then, because a complete answer in time is
//!   worth more than a partial one; a suspect zone makes that wait short.
//! - It fails at once where no answer is possible any more, with the time for a retry where a rejected request was given one.
//! - A response whose wait is over while others are waited for is still accepted as long as there is no answer.
//! - All waits end at the client's deadline less the reply margin. What arrives after the answer is only counted.
use crate::answer::{Answer, MissingReason};
use crate::memory::Size;
use crate::policy::Policy;
use crate::shared::Shared;
use crate::slot::{Slot, Waiting};
use crate::zone::ZoneHealth;
use crate::zone_tracker::{WaitPlan, ZoneTracker};
use cluster_types::{Time, Zone};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The reason of a response that is larger than its limit.
pub(crate) const TOO_LARGE: &str = "too large";

/// The end of a shard request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardResponse<V> {
    /// It has a value.
    Value(V),
    /// It was rejected by admission control, perhaps with the time for a retry. The gather does not send it again.
    Rejected(Option<Duration>),
    /// It failed.
    Failed {
        /// Why, in few words.
        reason: Cow<'static, str>,
        /// Whether a backend answered: then the failure says nothing against the zone.
        is_zone_reachable: bool,
    },
}

/// An event for a gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatherEvent<V> {
    /// A shard request has ended.
    Response {
        /// The request, by its place in the policy.
        request: usize,
        /// How it ended.
        response: ShardResponse<V>,
    },
    /// Time has passed.
    Tick,
    /// The health of a zone has changed.
    ZoneHealthChanged,
    /// The client has left.
    ClientLeft,
}

/// What a gather asks its host to do.
#[derive(Debug)]
pub enum GatherAction<V> {
    /// Send a shard request.
    Send {
        /// The request, by its place in the policy.
        request: usize,
        /// How long it may run.
        deadline: Time,
    },
    /// The value of a shard request is not needed any more. Its end is still to be told, if it comes.
    Abandon {
        /// The request, by its place in the policy.
        request: usize,
    },
    /// The one answer.
    Answer(Answer<V>),
}

/// One gather.
#[derive(Debug)]
pub struct Gather<V> {
    pub(crate) policy: Arc<Policy>,
    deadline: Time,
    remote_deadline: Time,
    pub(crate) slots: Vec<Slot<V>>,
    /// For each request that has ended, whether its zone was reached; none where that is unknown.
    pub(crate) reached: Vec<Option<bool>>,
    pub(crate) is_over: bool,
}

impl<V: Size> Gather<V> {
    /// Starts a gather: sends the requests that there is memory and a point for. The client leaves at `client_deadline`.
    pub fn new(
        policy: Arc<Policy>,
        now: Time,
        client_deadline: Time,
        shared: &mut Shared,
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

    /// The longest that responses of a zone are waited for.
    pub(crate) fn zone_deadline(&self, zones: &ZoneTracker, zone: &Zone) -> Time {
        if zones.is_remote(zone) {
            self.remote_deadline
        } else {
            self.deadline
        }
    }

    fn send_requests(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<GatherAction<V>>) {
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

    /// What is done about each zone.
    fn plan_waits(&self, now: Time, shared: &mut Shared) -> BTreeMap<Zone, WaitPlan> {
        let policy = &self.policy;
        let is_healthy =
            |request: usize| shared.zones.health(now, &policy.requests[request].zone) == ZoneHealth::Healthy;
        // Whether there is no answer without the zones that are not healthy.
        let is_needed = !policy.is_answer(is_healthy);
        let mut plans = BTreeMap::new();
        for zone in policy.requests_by_zone().into_keys() {
            let left = self.zone_deadline(&shared.zones, zone).since(now);
            let plan = shared.zones.plan_wait(now, zone, left, is_needed);
            shared.counters.probes += u64::from(plan.is_probe);
            plans.insert(zone.clone(), plan);
        }
        plans
    }

    /// Handles an event and appends the actions that follow. An unexpected event changes nothing and is counted.
    pub fn handle(
        &mut self,
        now: Time,
        event: GatherEvent<V>,
        shared: &mut Shared,
        out: &mut Vec<GatherAction<V>>,
    ) {
        if !self.is_over && now > self.deadline && !matches!(event, GatherEvent::ClientLeft) {
            // It was woken too late: what arrives only now arrives after the deadline.
            shared.counters.overdue += 1;
            self.conclude(now, shared, out);
        }
        match event {
            GatherEvent::Response { request, response } if self.is_over => {
                self.received_late(now, request, response, shared);
            }
            GatherEvent::Response { request, response } => self.received(now, request, response, shared),
            GatherEvent::ZoneHealthChanged if !self.is_over => self.update_waits(now, shared),
            GatherEvent::ClientLeft if !self.is_over => {
                shared.counters.client_left += 1;
                self.report_zones(now, shared);
                self.abandon_rest(out);
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

    /// Whether it has ended: answered, or left by its client.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Whether it has ended, and the ends of all its requests are known.
    pub fn is_finished(&self) -> bool {
        self.is_over && !self.slots.iter().any(|slot| matches!(slot, Slot::Abandoned { .. }))
    }

    /// The bytes that it holds of the memory budget.
    pub fn reserved_bytes(&self) -> u64 {
        self.slots.iter().map(Slot::reserved_bytes).sum()
    }

    /// When its last request must have ended.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    fn conclude_if_settled(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<GatherAction<V>>) {
        let is_possible = self.policy.is_answer(|request| self.slots[request].is_possible());
        let is_waiting = self.slots.iter().filter_map(Slot::wait_until).any(|until| until > now);
        let is_worth_waiting = is_possible && is_waiting && now < self.deadline;
        if !self.is_over && !is_worth_waiting {
            self.conclude(now, shared, out);
        }
    }
}
