//! Decodes the settings of an instance as the simulator writes them.
use super::error::SetupError;
use super::micros;
use crate::interface::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Micros, Plan, RetryBudget, Settings, SlowStart,
};
use serde::Deserialize;
use serde_json::Value;

/// Reads the settings given to an instance at its start, which use the simulator's names.
///
/// # Errors
///
/// Names the field that is missing, of the wrong type or undefined. [`Scheduler::new`](crate::Scheduler::new)
/// checks whether the values are valid.
pub fn read_settings(setup: Value) -> Result<Settings, SetupError> {
    serde_json::from_value::<WireSetup>(setup)?.into_settings()
}

#[derive(Deserialize)]
pub(super) struct WireSetup {
    #[serde(rename = "Classes")]
    classes: Vec<WireClass>,
    #[serde(rename = "Contracts", default)]
    plans: Vec<WirePlan>,
    #[serde(rename = "FamilyInfo", default)]
    service: WireService,
    #[serde(rename = "FleetSize")]
    gateways: u32,
    #[serde(rename = "Limits", default)]
    limits: WireLimits,
    #[serde(rename = "MembershipMode", default)]
    discovery_mode: String,
    #[serde(rename = "QuantumS", default)]
    tick_s: f64,
    #[serde(rename = "Rules", default)]
    rules: WireRules,
}

#[derive(Deserialize)]
struct WireClass {
    #[serde(rename = "OnTimeS")]
    latency_objective_s: f64,
    #[serde(rename = "DeadlineS")]
    deadline_s: f64,
    #[serde(rename = "Idempotency")]
    idempotency: String,
    #[serde(rename = "Group", default)]
    deduplication_scope: String,
    #[serde(rename = "KeepOrder", default)]
    in_order: bool,
    #[serde(rename = "WindowS", default)]
    deduplication_window_s: f64,
    #[serde(rename = "Worth", default)]
    priority_weight: f64,
}

#[derive(Deserialize)]
struct WirePlan {
    #[serde(rename = "CapDepth", default)]
    limit_burst: f64,
    #[serde(rename = "CeilingRate", default)]
    limit_rate: f64,
    #[serde(rename = "Guaranteed", default)]
    reservation: f64,
    #[serde(rename = "Proportion", default = "default_weight")]
    weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireService {
    #[serde(rename = "ColdUnits")]
    slow_start_safe_units: f64,
    #[serde(rename = "CountsOthers")]
    reports_remote_units: bool,
    #[serde(rename = "MostUnits")]
    max_request_units: f64,
    #[serde(rename = "UnitMean")]
    mean_request_units: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireLimits {
    #[serde(rename = "ConnectTimeoutS")]
    connect_timeout_s: f64,
    #[serde(rename = "MaxAttempts")]
    max_attempts: u32,
    #[serde(rename = "MaxRetryAfterS")]
    max_retry_after_s: f64,
    #[serde(rename = "RetryAfter")]
    has_retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireRules {
    #[serde(rename = "AskWithinS")]
    max_poll_interval_s: f64,
    #[serde(rename = "ColdFrom")]
    initial_capacity: f64,
    #[serde(rename = "FallS")]
    slow_start_window_s: f64,
    #[serde(rename = "OrderPauseS")]
    ordering_pause_s: f64,
    #[serde(rename = "TipMultiple")]
    overload_factor: f64,
    #[serde(rename = "WarmUpS")]
    slow_start_duration_s: f64,
    #[serde(rename = "ExtraFloor")]
    min_retries: Option<f64>,
    #[serde(rename = "FurtherRatio")]
    retry_ratio: Option<f64>,
    #[serde(rename = "CountedOverS")]
    retry_window_s: Option<f64>,
}

impl WireSetup {
    pub(super) fn into_settings(self) -> Result<Settings, SetupError> {
        let classes: Result<Vec<Class>, SetupError> =
            self.classes.into_iter().enumerate().map(|(index, class)| class.into_class(index)).collect();
        let rules = &self.rules;
        let has_retry_after = self.limits.has_retry_after;
        let is_subscribed = self.discovery_mode == "ask";
        Ok(Settings {
            gateways: self.gateways,
            classes: classes?,
            plans: self.plans.into_iter().map(WirePlan::into_plan).collect(),
            max_request_units: self.service.max_request_units,
            mean_request_units: self.service.mean_request_units,
            reports_remote_units: self.service.reports_remote_units,
            max_attempts: self.limits.max_attempts,
            max_retry_after: if has_retry_after { micros(self.limits.max_retry_after_s) } else { Micros(0) },
            connect_timeout: micros(self.limits.connect_timeout_s),
            tick: micros(self.tick_s),
            discovery_mode: if is_subscribed { DiscoveryMode::Subscribe } else { DiscoveryMode::Push },
            max_poll_interval: micros(rules.max_poll_interval_s),
            slow_start: rules.slow_start(self.service.slow_start_safe_units),
            ordering_pause: micros(rules.ordering_pause_s),
            retry_budget: rules.retry_budget(),
        })
    }
}

impl WireClass {
    fn into_class(self, index: usize) -> Result<Class, SetupError> {
        let unknown =
            |field, value: &str| SetupError::UnknownValue { class: index, field, value: value.into() };
        let scope = match self.deduplication_scope.as_str() {
            "" | "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Shard,
            other => return Err(unknown("Group", other)),
        };
        let idempotency = match self.idempotency.as_str() {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Deduplicated(scope),
            "at_most_once" => Idempotency::AtMostOnce,
            other => return Err(unknown("Idempotency", other)),
        };
        Ok(Class {
            latency_objective: micros(self.latency_objective_s),
            deadline: micros(self.deadline_s),
            priority_weight: self.priority_weight,
            idempotency,
            deduplication_window: micros(self.deduplication_window_s),
            in_order: self.in_order,
        })
    }
}

impl WirePlan {
    fn into_plan(self) -> Plan {
        Plan {
            reservation: self.reservation,
            weight: self.weight,
            limit_rate: self.limit_rate,
            limit_burst: self.limit_burst,
        }
    }
}

impl WireRules {
    fn slow_start(&self, safe_units: f64) -> SlowStart {
        SlowStart {
            safe_units,
            window: micros(self.slow_start_window_s),
            initial_capacity: self.initial_capacity,
            duration: micros(self.slow_start_duration_s),
            overload_factor: self.overload_factor,
        }
    }

    fn retry_budget(&self) -> Option<RetryBudget> {
        self.retry_window_s.map(|window_s| RetryBudget {
            min_retries: self.min_retries.unwrap_or(0.0),
            retry_ratio: self.retry_ratio.unwrap_or(0.0),
            window: micros(window_s),
        })
    }
}
