//! Slow start: what a backend that has just started may be sent by this gateway.
use super::constants::MICROS_PER_SECOND;
use crate::interface::{Micros, Settings, SlowStart};
use crate::time::span_us;
use std::collections::VecDeque;

/// Least initial capacity, so that the ramp stays finite.
const MIN_INITIAL_CAPACITY: f64 = 1e-3;
/// Least allowance in a window, in units.
const MIN_ALLOWANCE_UNITS: f64 = 1e-6;

/// A gateway's record of a backend that warms up.
#[derive(Default)]
pub(super) struct SlowStartState {
    /// When the backend started, as far as is known.
    pub started_at: Option<Micros>,
    /// Units of allowance that have accrued since the start was known.
    pub accrued_units: f64,
    /// Up to when they have been counted.
    pub accrued_at: Micros,
    /// What was sent meanwhile.
    pub sends: VecDeque<SlowStartSend>,
    /// Units per second that the shard took from this gateway before the backend's start.
    pub baseline_rate: f64,
    /// Whether that was measured; otherwise it is estimated from reservations.
    pub is_baseline_measured: bool,
    /// Where in the span in which one request's allowance accrues the first one may be sent: 0 to 1,
    /// random.
    pub phase: f64,
}

/// Something sent to a backend that warms up.
pub(super) struct SlowStartSend {
    /// Accrued units when it was sent.
    pub accrued_units: f64,
    /// Its size.
    pub units: f64,
}

/// This gateway's share of what a backend that warms up may be sent.
pub(super) struct Allowance {
    /// Units since the start was known.
    pub accrued_units: f64,
    /// Units in the present window.
    pub window_units: f64,
}

impl SlowStartState {
    /// How long ago the backend started, in microseconds; none once it is warm, and where there is no slow
    /// start.
    pub fn warming_up_for_us(&self, slow_start: &SlowStart, now: Micros) -> Option<f64> {
        let age_us = span_us(self.started_at?, now).max(0.0);
        (age_us < slow_start.duration.0 as f64 && slow_start.window.0 > 0).then_some(age_us)
    }

    /// This gateway's allowance for a backend that warms up; none for a warm one.
    ///
    /// It is the even share, or is derived from what the gateway usually sends there: all gateways together
    /// stay as far below what overloads the backend as their usual load is below its full capacity.
    pub fn allowance(&self, settings: &Settings, now: Micros) -> Option<Allowance> {
        let age_us = self.warming_up_for_us(&settings.slow_start, now)?;
        let (slow_start, window_us) = (&settings.slow_start, settings.slow_start.window.0 as f64);
        let initial = slow_start.initial_capacity.max(MIN_INITIAL_CAPACITY);
        let growth = |age_us: f64| 1.0 + (1.0 / initial - 1.0) * age_us / slow_start.duration.0 as f64;
        let baseline =
            slow_start.overload_factor * initial * self.baseline_rate * window_us / MICROS_PER_SECOND;
        let even = slow_start.safe_units / f64::from(settings.gateways);
        let initial_units = even.max(baseline).max(MIN_ALLOWANCE_UNITS);
        let passed_us = span_us(self.accrued_at, now).max(0.0);
        // The allowance grows linearly, so its value in the middle of the span is its mean.
        let accrued = initial_units * growth((age_us - passed_us / 2.0).max(0.0)) * passed_us / window_us;
        Some(Allowance {
            accrued_units: self.accrued_units + accrued,
            window_units: initial_units * growth(age_us),
        })
    }

    /// By how many windows so many units exceed the allowance, with `queued_units` ahead of them; none for
    /// a warm backend.
    ///
    /// A request larger than the allowance of a window waits until its size has accrued since the last
    /// send, and the first one until a random part of its size has. That way a gateway with a small share
    /// can send at all, and the sum over all gateways still follows the ramp from its start.
    pub fn excess(&self, settings: &Settings, now: Micros, units: f64, queued_units: f64) -> Option<f64> {
        let Allowance { accrued_units, window_units } = self.allowance(settings, now)?;
        let span_units = window_units.max(units);
        let is_recent = |send: &&SlowStartSend| send.accrued_units > accrued_units - span_units;
        let spent: f64 = self.sends.iter().rev().take_while(is_recent).map(|send| send.units).sum();
        let early = if units > window_units { units * self.phase - accrued_units } else { 0.0 };
        Some((spent + queued_units + units - span_units).max(early) / window_units)
    }

    /// Records units sent: they count against the allowance while the backend warms up.
    pub fn record_send(&mut self, settings: &Settings, now: Micros, units: f64) {
        match self.allowance(settings, now) {
            Some(Allowance { accrued_units, .. }) => {
                (self.accrued_units, self.accrued_at) = (accrued_units, now);
                self.sends.push_back(SlowStartSend { accrued_units, units });
            }
            None => self.sends.clear(),
        }
    }
}
