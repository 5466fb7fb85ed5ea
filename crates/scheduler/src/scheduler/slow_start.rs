//! Slow start: limits what this gateway sends to a backend that has just started.
use super::constants::MICROS_PER_SECOND;
use crate::interface::{Micros, Settings, SlowStart};
use crate::time::span_us;
use std::collections::VecDeque;

/// Lower bound of the initial capacity, which keeps the ramp finite.
const MIN_INITIAL_CAPACITY: f64 = 1e-3;
/// Lower bound of the allowance per window, in units.
const MIN_ALLOWANCE_UNITS: f64 = 1e-6;

/// The state of slow start for a backend.
#[derive(Default)]
pub(super) struct SlowStartState {
    /// When the backend started, if known.
    pub started_at: Option<Micros>,
    /// Units of allowance accrued since the start became known.
    pub accrued_units: f64,
    /// The time up to which the allowance has been accrued.
    pub accrued_at: Micros,
    /// Requests sent during slow start.
    pub sends: VecDeque<SlowStartSend>,
    /// Units per second that the shard served for this gateway before the backend started.
    pub baseline_rate: f64,
    /// Whether the baseline was measured; otherwise it is estimated from reservations.
    pub is_baseline_measured: bool,
    /// Random fraction, from 0 to 1, of a large request's size that must accrue before the first request is
    /// sent.
    pub phase: f64,
}

/// A request sent during slow start.
pub(super) struct SlowStartSend {
    /// Accrued units at the time of sending.
    pub accrued_units: f64,
    /// Size of the request, in units.
    pub units: f64,
}

/// This gateway's share of the load that a backend in slow start may be sent.
pub(super) struct Allowance {
    /// Units accrued since the start became known.
    pub accrued_units: f64,
    /// Units per window at the present capacity.
    pub window_units: f64,
}

impl SlowStartState {
    /// Time since the backend started, in microseconds; `None` after slow start, or if it is disabled.
    pub fn warming_up_for_us(&self, slow_start: &SlowStart, now: Micros) -> Option<f64> {
        let age_us = span_us(self.started_at?, now).max(0.0);
        (age_us < slow_start.duration.0 as f64 && slow_start.window.0 > 0).then_some(age_us)
    }

    /// This gateway's allowance for a backend in slow start; `None` otherwise.
    ///
    /// The allowance is the even share, or is derived from the gateway's baseline if that gives more: all
    /// gateways together stay as far below the load that overloads the backend as their usual load is below
    /// its full capacity.
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
        // The allowance grows linearly, so its value in the middle of an interval is its mean.
        let accrued = initial_units * growth((age_us - passed_us / 2.0).max(0.0)) * passed_us / window_us;
        Some(Allowance {
            accrued_units: self.accrued_units + accrued,
            window_units: initial_units * growth(age_us),
        })
    }

    /// Number of windows by which a request exceeds the allowance, with `queued_units` ahead of it; `None`
    /// outside slow start.
    ///
    /// A request larger than the allowance of a window waits until its size has accrued since the last send,
    /// or for the first request, a random fraction of its size. That way a gateway with a small share can
    /// send at all, and the sum over all gateways follows the ramp from the start.
    pub fn excess(&self, settings: &Settings, now: Micros, units: f64, queued_units: f64) -> Option<f64> {
        let Allowance { accrued_units, window_units } = self.allowance(settings, now)?;
        let span_units = window_units.max(units);
        let is_recent = |send: &&SlowStartSend| send.accrued_units > accrued_units - span_units;
        let spent: f64 = self.sends.iter().rev().take_while(is_recent).map(|send| send.units).sum();
        let early = if units > window_units { units * self.phase - accrued_units } else { 0.0 };
        Some((spent + queued_units + units - span_units).max(early) / window_units)
    }

    /// Records units sent, which count against the allowance during slow start.
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
