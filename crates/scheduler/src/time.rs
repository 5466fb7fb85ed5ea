//! Arithmetic on timestamps.
use crate::interface::Micros;
use std::collections::VecDeque;

/// The time between two timestamps, in microseconds.
pub(crate) fn span_us(from: Micros, to: Micros) -> f64 {
    (to.0 - from.0) as f64
}

/// Adds a duration in microseconds to a timestamp.
pub(crate) fn add_us(at: Micros, by_us: f64) -> Micros {
    Micros(at.0.saturating_add(by_us as i64))
}

/// Removes the entries of an ascending log up to and including `until`.
pub(crate) fn prune_until(log: &mut VecDeque<Micros>, until: Micros) {
    while log.front().is_some_and(|at| *at <= until) {
        log.pop_front();
    }
}
