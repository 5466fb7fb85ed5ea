//! A volume's session: its credits, its reservation and its rate limit at this gateway.
use super::backend::Backend;
use super::constants::{MICROS_PER_SECOND, PAYLOAD_POOL_REQUESTS};
use crate::interface::{Micros, Settings};
use crate::time::{add_us, span_us};

/// The session of a volume at this gateway.
#[derive(Default)]
pub(super) struct Session {
    /// Index of the volume's plan.
    pub plan: usize,
    /// Number of gateways through which the volume's requests arrive.
    pub gateways: f64,
    /// Token bucket of the reservation, charged when a request is sent.
    pub reservation_tokens: f64,
    /// A second bucket of the same rate and size, charged when a request arrives: it tracks demand inside the
    /// reservation.
    pub demand_tokens: f64,
    /// When both buckets were last refilled.
    pub reservation_refilled_at: Micros,
    /// Recently served units of the volume through this gateway, as reported by responses.
    pub local_units: f64,
    /// Recently served units of the volume through all gateways, as reported by responses.
    pub total_units: f64,
    /// This gateway's share of the rate limit's token bucket.
    pub limit_tokens: f64,
    /// When the rate limit's bucket was last refilled.
    pub limit_refilled_at: Micros,
    /// Operation credits in use: requests in flight.
    pub operations_in_flight: u32,
    /// Payload credits in use: units in flight.
    pub units_in_flight: f64,
    /// Requests that are queued or in flight.
    pub open_requests: u32,
}

impl Session {
    /// Refills the buckets up to now and returns whether all of them are full.
    ///
    /// The reservation's bucket holds one second of its rate plus one request of the maximum size.
    pub fn refill(&mut self, settings: &Settings, now: Micros) -> bool {
        let plan = &settings.plans[self.plan];
        // This gateway's share of the volume's units, as reported by responses. The even share is a prior
        // with the weight of the payload pool.
        let prior = PAYLOAD_POOL_REQUESTS * settings.mean_request_units;
        let local_share = (self.local_units + prior / self.gateways) / (self.total_units + prior);
        let rate = plan.reservation * local_share;
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

    /// Returns when the rate limit and the backend's pacing allow this request. The session must be refilled
    /// first.
    pub fn ready_at(&self, settings: &Settings, backend: &Backend, request: &Candidate) -> Micros {
        let plan = &settings.plans[self.plan];
        let units = request.units;
        let paced_until = if request.background && backend.window < backend.initial_window {
            backend.next_unreserved_at.max(backend.next_background_at)
        } else if backend.window < 1.0 && self.reservation_tokens < units {
            backend.next_unreserved_at
        } else {
            Micros(0)
        };
        if !request.is_first_attempt || plan.limit_rate <= 0.0 || self.limit_tokens >= units {
            return paced_until;
        }
        let missing = (units - self.limit_tokens) * self.gateways / plan.limit_rate;
        // Add a microsecond, so that rounding doesn't cause a wakeup just before there are enough tokens.
        paced_until.max(add_us(self.limit_refilled_at, missing * MICROS_PER_SECOND + 1.0))
    }
}

/// The properties of a request that determine when it may be sent.
pub(super) struct Candidate {
    /// Size of the request, in units.
    pub units: f64,
    /// Whether the request is background work.
    pub background: bool,
    /// Whether this is the first attempt: only first attempts are charged to the rate limit.
    pub is_first_attempt: bool,
}
