//! Validates settings before they take effect.
use crate::interface::{Class, Micros, Plan, RetryBudget, Settings, SettingsError, SlowStart};

/// Checks all settings.
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
        ("mean_units", is_valid_figure(mean) && mean > 0.0, "must be above 0"),
        ("most_units", is_valid_figure(max) && max >= mean, "must be at least mean_units"),
        ("max_attempts", settings.max_attempts > 0, "must be at least 1"),
        ("max_wait_hint", is_valid_span(settings.max_retry_after), "must not be negative"),
        ("connect_timeout", is_valid_span(settings.connect_timeout), "must not be negative"),
        ("tick", is_valid_span(settings.tick), "must not be negative"),
        ("ask_within", is_valid_span(settings.max_poll_interval), "must not be negative"),
        ("order_rest", is_valid_span(settings.ordering_pause), "must not be negative"),
        ("cold", is_valid_slow_start(&settings.slow_start), "figures must be finite and not negative"),
        ("retry_budget", retry_budget, "figures must not be negative"),
    ];
    match checks.into_iter().find(|(_, is_valid, _)| !is_valid) {
        Some((field, _, reason)) => Err(SettingsError { field, reason }),
        None => Ok(()),
    }
}

fn is_valid_figure(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

fn is_valid_span(span: Micros) -> bool {
    span.0 >= 0
}

fn is_valid_class(class: &Class) -> bool {
    class.latency_objective.0 > 0 && class.deadline.0 > 0 && is_valid_span(class.deduplication_window)
}

fn is_valid_plan(plan: &Plan) -> bool {
    let figures = [plan.weight, plan.reservation, plan.limit_rate, plan.limit_burst];
    plan.weight > 0.0 && figures.into_iter().all(is_valid_figure)
}

fn is_valid_slow_start(slow_start: &SlowStart) -> bool {
    let figures = [slow_start.safe_units, slow_start.initial_capacity, slow_start.overload_factor];
    let spans = [slow_start.window, slow_start.duration];
    figures.into_iter().all(is_valid_figure) && spans.into_iter().all(is_valid_span)
}

fn is_valid_retry_budget(budget: &RetryBudget) -> bool {
    is_valid_span(budget.window) && is_valid_figure(budget.min_retries) && is_valid_figure(budget.retry_ratio)
}
