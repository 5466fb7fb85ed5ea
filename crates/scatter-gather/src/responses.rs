//! Handles outcomes of shard requests, and changes of zone health.
use crate::answer::{HeldValue, MissingReason};
use crate::gather::{Gather, ShardResponse, TOO_LARGE};
use crate::memory::{Reservation, Size};
use crate::shared::SharedState;
use crate::slot::{Slot, Waiting};
use crate::zone::ZoneHealth;
use cluster_types::{Time, Zone};
use std::mem;

impl<V: Size> Gather<V> {
    /// Handles the outcome of a shard request before the answer.
    pub(crate) fn handle_outcome(
        &mut self,
        now: Time,
        request: usize,
        response: ShardResponse<V>,
        shared: &mut SharedState,
    ) {
        let Some(Waiting { sent_at, reservation, .. }) = self.take_waiting(request) else {
            shared.counters.unexpected_responses += 1;
            return;
        };
        self.slots[request] = match response {
            ShardResponse::Value(value) => {
                let zone = self.zone(request);
                let is_first_of_zone = !self.reachability_in(&zone).any(|reached| reached == Some(true));
                self.reached[request] = Some(true);
                shared.zones.record_response(now, &zone, now.since(sent_at), is_first_of_zone);
                self.store_value(value, reservation, shared)
            }
            ShardResponse::Rejected(retry_after) => {
                Slot::Missing { reason: MissingReason::Rejected, retry_after }
            }
            ShardResponse::Failed { reason, is_zone_reachable } => {
                self.reached[request] = Some(is_zone_reachable);
                Slot::missing(MissingReason::Failed(reason))
            }
        };
        self.update_waits(now, shared);
    }

    /// Takes a pending request out of its slot.
    fn take_waiting(&mut self, request: usize) -> Option<Waiting> {
        let slot = self.slots.get_mut(request)?;
        match mem::replace(slot, Slot::Done) {
            Slot::Waiting(waiting) => Some(waiting),
            other => {
                *slot = other;
                None
            }
        }
    }

    /// Stores a value if it fits in the limits.
    fn store_value(&self, value: V, mut reservation: Reservation, shared: &mut SharedState) -> Slot<V> {
        let total_bytes = self.reserved_bytes().saturating_add(value.size());
        if total_bytes <= self.policy.max_total_bytes && reservation.resize(value.size()) {
            return Slot::Received(HeldValue { value, reservation });
        }
        shared.counters.too_large += 1;
        Slot::missing(MissingReason::Failed(TOO_LARGE.into()))
    }

    /// Whether each of a zone's requests reached it; `None` if that is unknown.
    pub(crate) fn reachability_in<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = Option<bool>> + 'a {
        let requests = self.policy.requests.iter().zip(&self.reached);
        requests.filter(move |(request, _)| request.zone == *zone).map(|(_, reached)| *reached)
    }

    fn zone(&self, request: usize) -> Zone {
        self.policy.requests.get(request).map(|request| request.zone.clone()).unwrap_or_default()
    }

    /// Handles the outcome of a shard request after the answer.
    pub(crate) fn handle_late_response(
        &mut self,
        now: Time,
        request: usize,
        response: ShardResponse<V>,
        shared: &mut SharedState,
    ) {
        let Some(slot @ Slot::Abandoned { .. }) = self.slots.get_mut(request) else {
            shared.counters.unexpected_responses += 1;
            return;
        };
        let abandoned = mem::replace(slot, Slot::Done);
        if let (Slot::Abandoned { sent_at }, ShardResponse::Value(_)) = (abandoned, response) {
            shared.counters.late_responses += 1;
            shared.zones.record_late_response(now, &self.zone(request), now.since(sent_at));
        }
    }

    /// Updates the waits after a response or a change of zone health: a suspect zone may have become needed, or no longer
    /// be needed. The wait of a probe is never shortened below its plan.
    pub(crate) fn update_waits(&mut self, now: Time, shared: &SharedState) {
        let is_healthy = |request: usize| {
            shared.zones.health(now, &self.policy.requests[request].zone) == ZoneHealth::Healthy
        };
        let is_expected = |request: usize| {
            let slot = &self.slots[request];
            slot.is_received() || (slot.is_possible() && is_healthy(request))
        };
        let is_needed = !self.policy.is_answer(is_expected);
        for index in 0..self.slots.len() {
            let zone = &self.policy.requests[index].zone;
            let zone_deadline = self.zone_deadline(&shared.zones, zone);
            if let Slot::Waiting(waiting) = &mut self.slots[index] {
                let remaining = zone_deadline.since(waiting.sent_at);
                let wait = shared.zones.worthwhile_wait(now, zone, remaining, is_needed);
                waiting.wait_until = (waiting.sent_at + wait).max(waiting.probe_until);
            }
        }
    }
}
