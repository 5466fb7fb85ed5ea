//! What this gateway knows of a backend: latency, window, failures and attempts in flight.
use super::constants::{LATENCY_SMOOTHING, MAX_WINDOW, TIMEOUT_LATENCIES};
use super::slow_start::SlowStartState;
use crate::interface::{BackendEntry, BackendState, Micros, RequestId};
use crate::time::{later, span_us};
use std::collections::BTreeSet;

/// Lower bound of a window, as a part of the even share of its upper bound; below one, a window paces
/// requests beyond reservations.
const MIN_WINDOW_SHARE: f64 = 0.125;
/// The window grows while the latency per unit is below this multiple of the best: hardly anything queues
/// there.
const LOW_LATENCY_RATIO: f64 = 1.125;
/// The window shrinks while the latency per unit is above this multiple of the best: requests queue at the
/// backend, which is better done here.
const HIGH_LATENCY_RATIO: f64 = 1.25;
/// A sample counts as at most this many average latencies, so that one pause doesn't set the Retry-After.
const MAX_SAMPLE_LATENCIES: f64 = 4.0;
/// The best latency drifts towards the average by this share per sample: slowly against
/// `LATENCY_SMOOTHING`.
const BEST_LATENCY_DRIFT: f64 = 1.0 / 512.0;
/// How long an attempt may be silent before the backend's latency is known, in microseconds: as good as
/// forever.
const SILENCE_WITHOUT_LATENCY_US: f64 = 1e9;
/// First window of a backend, in requests, but at most twice this gateway's share of its upper bound.
const INITIAL_WINDOW: f64 = 2.0;

/// A backend, as this gateway sees it.
#[derive(Default)]
pub(super) struct Backend {
    /// Its entry in the list.
    pub entry: BackendEntry,
    /// Requests that may be in flight; below one, requests beyond reservations are paced.
    pub window: f64,
    /// The window that it began with, at most one.
    pub initial_window: f64,
    /// Pacing: when the next request beyond a reservation may be sent.
    pub next_unreserved_at: Micros,
    /// Pacing: when the next background request may be sent.
    pub next_background_at: Micros,
    /// Moving average of the latency; none before the first response.
    pub latency_us: Option<f64>,
    /// Moving average of the latency per unit; zero before the first response.
    pub unit_latency_us: f64,
    /// The best latency per unit, slowly forgotten.
    pub best_unit_latency_us: f64,
    /// Attempts in flight, by the time at which they were sent.
    pub in_flight: BTreeSet<(Micros, RequestId)>,
    /// When the latest of the answered attempts was sent: responses to earlier ones may be lost.
    pub latest_answered_send: Micros,
    /// When an attempt ended last.
    pub last_outcome_at: Micros,
    /// When it started, and what it may be sent while it warms up.
    pub slow_start: SlowStartState,
    /// Failures since it answered last.
    pub failures: i32,
    /// It is ejected, that is, not sent to, until then.
    pub ejected_until: Micros,
}

impl Backend {
    /// A backend of which nothing is known. `sharing` is the number of gateways per slot of its full
    /// window.
    pub fn new(now: Micros, sharing: f64) -> Backend {
        let window = INITIAL_WINDOW.min(2.0 / sharing);
        Backend {
            window,
            initial_window: window.min(1.0),
            best_unit_latency_us: f64::INFINITY,
            last_outcome_at: now,
            ..Backend::default()
        }
    }

    /// Whether it accepts new requests, by the list.
    pub fn is_ready(&self) -> bool {
        self.entry.state == BackendState::Ready
    }

    /// Expected latency of an attempt: at least the time for which the oldest attempt in flight has been
    /// silent.
    ///
    /// Without attempts in flight, what is known decays towards the average (scaled by `sharing`, at most
    /// one). Otherwise rejections because of an old figure would prevent the sample that corrects it; and
    /// where many gateways share a backend, one of them seldom sees it fast or slow.
    pub fn expected_latency_us(&self, now: Micros, average_us: f64, sharing: f64) -> f64 {
        let known = self.latency_us.unwrap_or(average_us);
        if let Some((sent_at, _)) = self.in_flight.range((self.latest_answered_send, RequestId(0))..).next() {
            return known.max(span_us(*sent_at, now));
        }
        let fallback = average_us * sharing;
        let half_life = TIMEOUT_LATENCIES * known.max(1.0);
        fallback + (known - fallback) * 0.5f64.powf(span_us(self.last_outcome_at, now) / half_life)
    }

    /// Updates the latency averages with a served attempt; returns the sample, cut to a few averages.
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

    /// Adapts the window to the latency of a served attempt, which is no longer in flight.
    pub fn adapt_window(&mut self, sample_us: f64, shortest_objective_us: f64) {
        let is_used_up = self.in_flight.len() as f64 + 1.0 >= self.window.floor();
        let is_late = sample_us > shortest_objective_us / 2.0;
        let is_queueing = self.unit_latency_us > HIGH_LATENCY_RATIO * self.best_unit_latency_us;
        if self.window > 1.0 && (is_queueing || is_late) {
            self.window = (self.window - 1.0 / self.window).max(1.0);
        } else if is_late {
            self.window *= 0.5;
        } else if self.window < 1.0 {
            self.window = (1.5 * self.window).min(1.0);
        } else if self.unit_latency_us < LOW_LATENCY_RATIO * self.best_unit_latency_us && is_used_up {
            self.window += 1.0 / self.window;
        }
    }

    /// Halves the window after a failure.
    pub fn halve_window(&mut self) {
        self.window = self.window.min(1.0) / 2.0;
    }

    /// Keeps the window within its bounds.
    pub fn clamp_window(&mut self, sharing: f64) {
        self.window = self.window.clamp((MIN_WINDOW_SHARE / sharing).min(1.0), MAX_WINDOW);
    }

    /// Whether the window has room for one more attempt.
    ///
    /// Attempts that have been silent for long don't occupy it: those that the response to a later one has
    /// overtaken, which are lost, and one more, so that a lost response can't close a window of one.
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
            Some((sent_at, _)) => WindowState::OpensAt(later(*sent_at, silence_us)),
            None => WindowState::Full,
        }
    }
}

/// Whether a window has room.
pub(super) enum WindowState {
    /// For one more attempt.
    Open,
    /// Not before then, unless an attempt ends.
    OpensAt(Micros),
    /// Not before an attempt ends.
    Full,
}
