//! Arithmetic on points in time.
use crate::interface::Micros;
use std::collections::VecDeque;

/// The time between two points, in microseconds.
pub(crate) fn span_us(from: Micros, to: Micros) -> f64 {
    (to.0 - from.0) as f64
}

/// The point in time that is so many microseconds later.
pub(crate) fn later(at: Micros, by_us: f64) -> Micros {
    Micros(at.0.saturating_add(by_us as i64))
}

/// Drops the entries of an ascending log that are not after `until`.
pub(crate) fn prune_until(log: &mut VecDeque<Micros>, until: Micros) {
    while log.front().is_some_and(|at| *at <= until) {
        log.pop_front();
    }
}
