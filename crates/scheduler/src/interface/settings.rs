//! The scheduler's settings, and the error that names an invalid one.
use super::ids::Micros;
use thiserror::Error;

/// Whether a request may be attempted again once an attempt may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it twice does no harm.
    Idempotent,
    /// Backends drop repeats that carry the same idempotency key, within a scope and for a limited time.
    Deduplicated(DeduplicationScope),
    /// Must not be executed twice.
    #[default]
    AtMostOnce,
}

/// The backends among which repeats of a deduplicated request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// Backends of the same zone.
    Zone,
    /// Backends that hold the same shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency objective: a response within this time has its full value.
    pub latency_objective: Micros,
    /// How long a client waits in all, over all of its tries.
    pub deadline: Micros,
    /// Relative value of one request; a low one marks background work.
    pub priority_weight: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// For deduplicated classes: how long repeats are dropped, from the first attempt that may have been
    /// executed.
    pub deduplication_window: Micros,
    /// Requests with the same key are executed one at a time, in the order of their arrival.
    pub in_order: bool,
}

/// A tenant's plan. Its rates apply to each volume, summed over all gateways and backends.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Reservation, in units per second.
    pub reservation: f64,
    /// Weight in the weighted round robin for capacity beyond reservations.
    pub weight: f64,
    /// Rate limit, in units per second; 0 for none.
    pub limit_rate: f64,
    /// Capacity of the limit's token bucket, in units.
    pub limit_burst: f64,
}

/// How the list of backends reaches this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Updates arrive by themselves.
    #[default]
    Push,
    /// Updates arrive only after [`Action::Watch`](super::Action::Watch).
    Subscribe,
}

/// Bounds the retries of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in one window regardless of traffic.
    pub min_retries: f64,
    /// Retries allowed for each request that arrived in the window.
    pub retry_ratio: f64,
    /// The sliding window over which retries and requests are counted.
    pub window: Micros,
}

/// Limits the load on a backend that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units in one window, from all gateways together, that a backend always sustains.
    pub safe_units: f64,
    /// The window over which load is counted; zero turns slow start off.
    pub window: Micros,
    /// Lower bound of the fraction of its capacity that a backend starts with.
    pub initial_capacity: f64,
    /// Longest time until a backend has its full capacity.
    pub duration: Micros,
    /// A backend fails when sent more than this multiple of its current capacity during one window.
    pub overload_factor: f64,
}

/// Settings of one scheduler.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways that share the backends.
    pub gateways: u32,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Size of the largest request, in units.
    pub max_request_units: f64,
    /// Mean size of a request, in units.
    pub mean_request_units: f64,
    /// Whether responses report the units served for the volume through other gateways.
    pub reports_remote_units: bool,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients honour; zero where they get none.
    pub max_retry_after: Micros,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Micros,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// How the list of backends arrives.
    pub discovery_mode: DiscoveryMode,
    /// Without a watch, the list must be requested at least this often; zero for never.
    pub max_poll_interval: Micros,
    /// Limits for backends that have just started.
    pub slow_start: SlowStart,
    /// How long a key is blocked after an attempt that may still be running.
    pub ordering_pause: Micros,
    /// Bound on retries, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting {field}: {reason}")]
pub struct SettingsError {
    /// The name under which operators know the setting; it doesn't follow renames of the fields of
    /// [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}
