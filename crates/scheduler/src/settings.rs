//! Checks of the settings that a host is started or reloaded with.
use crate::interface::{Class, Micros, Plan, RetryBudget, Settings, SettingsError};

/// Names the first setting that cannot work.
pub(crate) fn check(s: &Settings) -> Result<(), SettingsError> {
    let figure = |x: f64| x.is_finite() && x >= 0.0;
    let time = |t: Micros| t.0 >= 0;
    let class = |c: &Class| c.aim.0 > 0 && c.deadline.0 > 0 && time(c.repeat_window);
    let plan = |p: &Plan| {
        let figures = [p.weight, p.reservation, p.limit_rate, p.limit_burst];
        p.weight > 0.0 && figures.into_iter().all(figure)
    };
    let cold = [s.cold.units, s.cold.from, s.cold.multiple].into_iter().all(figure);
    let cold = cold && time(s.cold.window) && time(s.cold.warm_up);
    let budget = |b: &RetryBudget| time(b.window) && figure(b.floor) && figure(b.share);
    let (mean, most) = (s.mean_units, s.most_units);
    let checks = [
        ("hosts", s.hosts > 0, "must be at least 1"),
        ("classes", !s.classes.is_empty() && s.classes.iter().all(class), "one at least, times above 0"),
        ("plans", !s.plans.is_empty() && s.plans.iter().all(plan), "one at least, finite, weights above 0"),
        ("mean_units", figure(mean) && mean > 0.0, "must be above 0"),
        ("most_units", figure(most) && most >= mean, "must be at least mean_units"),
        ("max_attempts", s.max_attempts > 0, "must be at least 1"),
        ("max_wait_hint", time(s.max_wait_hint), "must not be negative"),
        ("connect_timeout", time(s.connect_timeout), "must not be negative"),
        ("tick", time(s.tick), "must not be negative"),
        ("ask_within", time(s.ask_within), "must not be negative"),
        ("order_rest", time(s.order_rest), "must not be negative"),
        ("cold", cold, "figures must be finite and not negative"),
        ("retry_budget", s.retry_budget.as_ref().is_none_or(budget), "figures must not be negative"),
    ];
    match checks.into_iter().find(|(_, good, _)| !good) {
        Some((field, _, reason)) => Err(SettingsError { field, reason }),
        None => Ok(()),
    }
}
