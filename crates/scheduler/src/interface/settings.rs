//! The scheduler's settings, and the error for an invalid one.
use super::ids::Micros;
use thiserror::Error;

/// Whether a request may be retried after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request can be executed more than once without harm.
    Idempotent,
    /// Backends discard retries with the same idempotency key, within a scope and for a limited time.
    Deduplicated(DeduplicationScope),
    /// The request must not be executed more than once.
    #[default]
    AtMostOnce,
}

/// The scope within which backends recognize retries of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// Backends in the same zone.
    Zone,
    /// Backends that hold the same shard.
    Shard,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency objective: a response within this time has full value.
    pub latency_objective: Micros,
    /// How long a client waits in total, over all of its tries.
    pub deadline: Micros,
    /// Relative value of a request; classes below the highest value may be treated as background work.
    pub priority_weight: f64,
    /// Whether requests may be retried.
    pub idempotency: Idempotency,
    /// For deduplicated classes: how long backends discard retries, counted from the first attempt that may
    /// have been executed.
    pub deduplication_window: Micros,
    /// Whether requests with the same key are executed one at a time, in the order of their arrival.
    pub in_order: bool,
}

/// A tenant's plan. Its rates apply to each volume, totalled over all gateways and backends.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Reserved rate, in units per second.
    pub reservation: f64,
    /// Weight in the weighted round robin, for capacity beyond the reservations.
    pub weight: f64,
    /// Rate limit, in units per second; 0 for no limit.
    pub limit_rate: f64,
    /// Capacity of the rate limit's token bucket, in units.
    pub limit_burst: f64,
}

/// How the backend list reaches this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Updates are pushed without a subscription.
    #[default]
    Push,
    /// Updates arrive only after [`Action::Watch`](super::Action::Watch).
    Subscribe,
}

/// Limits the retries of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed per window regardless of traffic.
    pub min_retries: f64,
    /// Additional retries allowed per request that arrived in the window.
    pub retry_ratio: f64,
    /// Length of the sliding window over which retries and requests are counted.
    pub window: Micros,
}

/// Limits the load on a backend that has just started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Units per window, from all gateways together, that a backend always sustains.
    pub safe_units: f64,
    /// The window over which load is counted; zero disables slow start.
    pub window: Micros,
    /// Lower bound of the fraction of its full capacity with which a backend starts.
    pub initial_capacity: f64,
    /// Maximum time until a backend reaches its full capacity.
    pub duration: Micros,
    /// A backend fails when sent more than this multiple of its current capacity within one window.
    pub overload_factor: f64,
}

/// Settings of a scheduler.
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
    /// The longest Retry-After that clients honour; zero if they get none.
    pub max_retry_after: Micros,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// How the backend list arrives.
    pub discovery_mode: DiscoveryMode,
    /// Without a watch, the list must be requested at least this often; zero for no such requirement.
    pub max_poll_interval: Micros,
    /// Limits on the load on backends that have just started.
    pub slow_start: SlowStart,
    /// How long requests with a key are held back after an attempt with that key that may still be running.
    pub ordering_pause: Micros,
    /// Limit on retries, if any.
    pub retry_budget: Option<RetryBudget>,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting {field}: {reason}")]
pub struct SettingsError {
    /// The setting's key as operators know it; it doesn't follow renames of the fields of [`Settings`].
    pub field: &'static str,
    /// Why the value is invalid.
    pub reason: &'static str,
}
