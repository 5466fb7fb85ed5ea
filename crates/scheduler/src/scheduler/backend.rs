//! The state of a backend as observed by this gateway: latency, window, failures and attempts in flight.
use super::constants::{LATENCY_SMOOTHING, MAX_WINDOW, TIMEOUT_LATENCIES};
use super::slow_start::SlowStartState;
use crate::interface::{BackendEntry, BackendState, Micros, RequestId};
use crate::time::{add_us, span_us};
use std::collections::BTreeSet;

/// Lower bound of a window, as a fraction of the even share of its upper bound; a window below one paces
/// requests beyond reservations.
const MIN_WINDOW_SHARE: f64 = 0.125;
/// The window grows while the latency per unit is below this multiple of the best: hardly anything is queued
/// at the backend.
const LOW_LATENCY_RATIO: f64 = 1.125;
/// The window shrinks while the latency per unit is above this multiple of the best: requests are queued at
/// the backend, and it is better to queue them at the gateway.
const HIGH_LATENCY_RATIO: f64 = 1.25;
/// A latency sample is capped at this many average latencies, so that a single pause doesn't determine the
/// Retry-After.
const MAX_SAMPLE_LATENCIES: f64 = 4.0;
/// The best latency drifts towards the average by this fraction per sample, which is slow compared with
/// `LATENCY_SMOOTHING`.
const BEST_LATENCY_DRIFT: f64 = 1.0 / 512.0;
/// How long an attempt may go without a response while the backend's latency is unknown, in microseconds:
/// effectively forever.
const SILENCE_WITHOUT_LATENCY_US: f64 = 1e9;
/// Initial window of a backend, in requests, but at most twice this gateway's share of the upper bound.
const INITIAL_WINDOW: f64 = 2.0;

/// The state of a backend at this gateway.
#[derive(Default)]
pub(super) struct Backend {
    /// The backend's entry in the list.
    pub entry: BackendEntry,
    /// Maximum number of requests in flight; below one, requests beyond reservations are paced.
    pub window: f64,
    /// The initial window, at most one.
    pub initial_window: f64,
    /// When pacing allows the next request beyond a reservation.
    pub next_unreserved_at: Micros,
    /// When pacing allows the next background request.
    pub next_background_at: Micros,
    /// Moving average of the latency; `None` before the first response.
    pub latency_us: Option<f64>,
    /// Moving average of the latency per unit; zero before the first response.
    pub unit_latency_us: f64,
    /// The best latency per unit, which drifts towards the average.
    pub best_unit_latency_us: f64,
    /// Attempts in flight, ordered by send time.
    pub in_flight: BTreeSet<(Micros, RequestId)>,
    /// Latest send time of an attempt with a response: responses to earlier attempts may be lost.
    pub latest_answered_send: Micros,
    /// When an attempt last ended.
    pub last_outcome_at: Micros,
    /// State of slow start: when the backend started, and what it may be sent.
    pub slow_start: SlowStartState,
    /// Failures since the last response.
    pub failures: i32,
    /// The backend is ejected, so nothing is sent to it, until this time.
    pub ejected_until: Micros,
}

impl Backend {
    /// Creates the state of a new backend. `gateways_per_slot` is the number of gateways per slot of its full
    /// window.
    pub fn new(now: Micros, gateways_per_slot: f64) -> Backend {
        let window = INITIAL_WINDOW.min(2.0 / gateways_per_slot);
        Backend {
            window,
            initial_window: window.min(1.0),
            best_unit_latency_us: f64::INFINITY,
            last_outcome_at: now,
            ..Backend::default()
        }
    }

    /// Whether the backend accepts new requests according to the list.
    pub fn is_ready(&self) -> bool {
        self.entry.state == BackendState::Ready
    }

    /// Expected latency of an attempt: at least the time for which the oldest attempt in flight has been
    /// waiting for a response.
    ///
    /// Without attempts in flight, the known latency decays towards the average, scaled by
    /// `gateways_per_slot` (at most one). Otherwise rejections because of an outdated latency would prevent
    /// the sample that corrects it. Where many gateways share a backend, each of them seldom observes whether
    /// it is fast or slow.
    pub fn expected_latency_us(&self, now: Micros, average_us: f64, gateways_per_slot: f64) -> f64 {
        let known = self.latency_us.unwrap_or(average_us);
        if let Some((sent_at, _)) = self.in_flight.range((self.latest_answered_send, RequestId(0))..).next() {
            return known.max(span_us(*sent_at, now));
        }
        let fallback = average_us * gateways_per_slot;
        let half_life = TIMEOUT_LATENCIES * known.max(1.0);
        fallback + (known - fallback) * 0.5f64.powf(span_us(self.last_outcome_at, now) / half_life)
    }

    /// Updates the latency averages with a served attempt and returns the sample, capped at a few averages.
    pub fn record_latency(&mut self, elapsed_us: f64, units: f64) -> f64 {
        let latency = self.latency_us.unwrap_or(elapsed_us);
        let sample = elapsed_us.min(MAX_SAMPLE_LATENCIES * latency);
        self.latency_us = Some(latency + LATENCY_SMOOTHING * (sample - latency));
        let unit_sample = sample / units.max(1.0);
        let before = if self.unit_latency_us > 0.0 { self.unit_latency_us } else { unit_sample };
        self.unit_latency_us = before + LATENCY_SMOOTHING * (unit_sample - before);
        let drifted = self.best_unit_latency_us + BEST_LATENCY_DRIFT * self.unit_latency_us;
        self.best_unit_latency_us = self.unit_latency_us.min(drifted);
        sample
    }

    /// Adapts the window to the latency of a served attempt, which is no longer counted as in flight.
    pub fn adapt_window(&mut self, sample_us: f64, shortest_objective_us: f64) {
        let is_fully_used = self.in_flight.len() as f64 + 1.0 >= self.window.floor();
        let is_late = sample_us > shortest_objective_us / 2.0;
        let is_queueing = self.unit_latency_us > HIGH_LATENCY_RATIO * self.best_unit_latency_us;
        if self.window > 1.0 && (is_queueing || is_late) {
            self.window = (self.window - 1.0 / self.window).max(1.0);
        } else if is_late {
            self.window *= 0.5;
        } else if self.window < 1.0 {
            self.window = (1.5 * self.window).min(1.0);
        } else if self.unit_latency_us < LOW_LATENCY_RATIO * self.best_unit_latency_us && is_fully_used {
            self.window += 1.0 / self.window;
        }
    }

    /// Halves the window after a failure.
    pub fn halve_window(&mut self) {
        self.window = self.window.min(1.0) / 2.0;
    }

    /// Keeps the window within its bounds.
    pub fn clamp_window(&mut self, gateways_per_slot: f64) {
        self.window = self.window.clamp((MIN_WINDOW_SHARE / gateways_per_slot).min(1.0), MAX_WINDOW);
    }

    /// Whether the window has room for one more attempt.
    ///
    /// Attempts that have gone without a response for long don't occupy a slot: those sent before one that
    /// got a response, whose responses are lost, and one more, so that a lost response can't close a window
    /// of one.
    pub fn window_state(&self, now: Micros) -> WindowState {
        let silence_us = self
            .latency_us
            .map_or(SILENCE_WITHOUT_LATENCY_US, |latency_us| (TIMEOUT_LATENCIES / 2.0 * latency_us).ceil());
        let silent = self.in_flight.iter().take_while(|(at, _)| span_us(*at, now) >= silence_us).count();
        let overtaken = |(at, _): &&(Micros, RequestId)| *at < self.latest_answered_send;
        let lost = self.in_flight.iter().take(silent).filter(overtaken).count();
        let excluded = silent.min(lost + usize::from(self.window >= 1.0));
        if (self.in_flight.len() - excluded) as f64 + 1.0 <= self.window.max(1.0) {
            return WindowState::Open;
        }
        match self.in_flight.iter().nth(silent).filter(|_| silent == lost) {
            Some((sent_at, _)) => WindowState::OpensAt(add_us(*sent_at, silence_us)),
            None => WindowState::Full,
        }
    }
}

/// Whether a window has a free slot.
pub(super) enum WindowState {
    /// There is a slot for one more attempt.
    Open,
    /// A slot becomes free at this time, or earlier if an attempt ends.
    OpensAt(Micros),
    /// No slot becomes free before an attempt ends.
    Full,
}
