//! A volume's session: its credits, its reservation and its rate limit at this gateway.
use super::backend::Backend;
use super::constants::{MICROS_PER_SECOND, PAYLOAD_POOL_REQUESTS};
use crate::interface::{Micros, Settings};
use crate::time::{later, span_us};

/// The state of a volume at this gateway.
#[derive(Default)]
pub(super) struct Session {
    /// Index of its plan.
    pub plan: usize,
    /// Number of gateways through which its requests arrive.
    pub gateways: f64,
    /// Token bucket of the reservation, charged when a request is sent.
    pub reservation_tokens: f64,
    /// The same bucket, charged when a request arrives: what clients ask for inside the reservation.
    pub demand_tokens: f64,
    /// When both were refilled last.
    pub reservation_refilled_at: Micros,
    /// Recent units that responses reported: served through this gateway.
    pub local_units: f64,
    /// Recent units that responses reported: served through all gateways.
    pub total_units: f64,
    /// This gateway's part of the rate limit's token bucket.
    pub limit_tokens: f64,
    /// When it was refilled last.
    pub limit_refilled_at: Micros,
    /// Operation credits in use: requests in flight.
    pub operations_in_flight: u32,
    /// Payload credits in use: units in flight.
    pub units_in_flight: f64,
    /// Requests that are queued or in flight.
    pub open_requests: u32,
}

impl Session {
    /// Refills the buckets up to now; returns whether all are full.
    ///
    /// The reservation's bucket holds a second of its rate and one request of the largest size.
    pub fn refill(&mut self, settings: &Settings, now: Micros) -> bool {
        let plan = &settings.plans[self.plan];
        // This gateway's part of the volume by what responses reported; the even part weighs as much as the
        // pool.
        let prior = PAYLOAD_POOL_REQUESTS * settings.mean_request_units;
        let part = (self.local_units + prior / self.gateways) / (self.total_units + prior);
        let rate = plan.reservation * part;
        let depth = if rate > 0.0 { rate + settings.max_request_units } else { 0.0 };
        let refill = rate * span_us(self.reservation_refilled_at, now) / MICROS_PER_SECOND;
        self.reservation_tokens = (self.reservation_tokens + refill).min(depth);
        self.demand_tokens = (self.demand_tokens + refill).min(depth);
        self.reservation_refilled_at = now;

        let limit_rate = plan.limit_rate / self.gateways;
        let refill = limit_rate * span_us(self.limit_refilled_at, now) / MICROS_PER_SECOND;
        let burst = plan.limit_burst / self.gateways;
        self.limit_tokens = (self.limit_tokens + refill).min(burst);
        self.limit_refilled_at = now;
        self.reservation_tokens >= depth && (plan.limit_rate <= 0.0 || self.limit_tokens >= burst)
    }

    /// When the rate limit and the backend's pacing allow a request of that size. The session must be
    /// refilled.
    pub fn ready_at(&self, settings: &Settings, backend: &Backend, request: &Candidate) -> Micros {
        let plan = &settings.plans[self.plan];
        let units = request.units;
        let paced = if request.background && backend.window < backend.initial_window {
            backend.next_unreserved_at.max(backend.next_background_at)
        } else if backend.window < 1.0 && self.reservation_tokens < units {
            backend.next_unreserved_at
        } else {
            Micros(0)
        };
        if !request.is_first_attempt || plan.limit_rate <= 0.0 || self.limit_tokens >= units {
            return paced;
        }
        let missing = (units - self.limit_tokens) * self.gateways / plan.limit_rate;
        // One more microsecond, so that rounding doesn't wake the queue just before the tokens suffice.
        paced.max(later(self.limit_refilled_at, missing * MICROS_PER_SECOND + 1.0))
    }
}

/// What decides when a request may be sent, besides the state of its session and backend.
pub(super) struct Candidate {
    /// Units to be sent.
    pub units: f64,
    /// Whether it is background work.
    pub background: bool,
    /// Whether it is a first attempt: only these are charged to the rate limit.
    pub is_first_attempt: bool,
}
