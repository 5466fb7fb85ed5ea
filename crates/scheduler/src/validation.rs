//! Validates settings before they take effect.
use crate::interface::{Class, Micros, Plan, RetryBudget, Settings, SettingsError, SlowStart};

/// Validates all settings.
///
/// # Errors
///
/// Names the first setting with an invalid value.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let (mean, max) = (settings.mean_request_units, settings.max_request_units);
    let classes = !settings.classes.is_empty() && settings.classes.iter().all(is_valid_class);
    let plans = !settings.plans.is_empty() && settings.plans.iter().all(is_valid_plan);
    let retry_budget = settings.retry_budget.as_ref().is_none_or(is_valid_retry_budget);
    let checks = [
        ("hosts", settings.gateways > 0, "must be at least 1"),
        ("classes", classes, "one at least, times above 0"),
        ("plans", plans, "one at least, finite, weights above 0"),
        ("mean_units", is_finite_and_non_negative(mean) && mean > 0.0, "must be above 0"),
        ("most_units", is_finite_and_non_negative(max) && max >= mean, "must be at least mean_units"),
        ("max_attempts", settings.max_attempts > 0, "must be at least 1"),
        ("max_wait_hint", is_non_negative(settings.max_retry_after), "must not be negative"),
        ("connect_timeout", is_non_negative(settings.connect_timeout), "must not be negative"),
        ("tick", is_non_negative(settings.tick), "must not be negative"),
        ("ask_within", is_non_negative(settings.max_poll_interval), "must not be negative"),
        ("order_rest", is_non_negative(settings.ordering_pause), "must not be negative"),
        ("cold", is_valid_slow_start(&settings.slow_start), "figures must be finite and not negative"),
        ("retry_budget", retry_budget, "figures must not be negative"),
    ];
    match checks.into_iter().find(|(_, is_valid, _)| !is_valid) {
        Some((field, _, reason)) => Err(SettingsError { field, reason }),
        None => Ok(()),
    }
}

fn is_finite_and_non_negative(amount: f64) -> bool {
    amount.is_finite() && amount >= 0.0
}

fn is_non_negative(duration: Micros) -> bool {
    duration.0 >= 0
}

fn is_valid_class(class: &Class) -> bool {
    class.latency_objective.0 > 0 && class.deadline.0 > 0 && is_non_negative(class.deduplication_window)
}

fn is_valid_plan(plan: &Plan) -> bool {
    let amounts = [plan.weight, plan.reservation, plan.limit_rate, plan.limit_burst];
    plan.weight > 0.0 && amounts.into_iter().all(is_finite_and_non_negative)
}

fn is_valid_slow_start(slow_start: &SlowStart) -> bool {
    let amounts = [slow_start.safe_units, slow_start.initial_capacity, slow_start.overload_factor];
    let durations = [slow_start.window, slow_start.duration];
    amounts.into_iter().all(is_finite_and_non_negative) && durations.into_iter().all(is_non_negative)
}

fn is_valid_retry_budget(budget: &RetryBudget) -> bool {
    is_non_negative(budget.window)
        && is_finite_and_non_negative(budget.min_retries)
        && is_finite_and_non_negative(budget.retry_ratio)
}
