//! Constants that are shared by several modules.

/// Operation credits of a session at one gateway, as for a client in the DAOS QoS design.
pub(super) const OPERATION_CREDITS: u32 = 128;
/// Payload credits of a session, in requests of the maximum size.
pub(super) const PAYLOAD_POOL_REQUESTS: f64 = 16.0;
/// Upper bound of a backend's window, in requests in flight.
pub(super) const MAX_WINDOW: f64 = 32.0;
/// Weight of a sample in moving averages of latency.
pub(super) const LATENCY_SMOOTHING: f64 = 0.125;
/// A queued request is sent only if this fraction of the expected latency fits before its objective.
pub(super) const REQUIRED_LATENCY_SHARE: f64 = 0.7;
/// An attempt times out after this many average latencies of the backend, but not before its objective. After
/// half of that time, it no longer occupies a slot of the window.
pub(super) const TIMEOUT_LATENCIES: f64 = 8.0;
/// A queued request gets its response this many ticks before its client times out.
pub(super) const RESPONSE_MARGIN_TICKS: i64 = 3;
/// A class is background work if its objective is longer than this multiple of the shortest one and its
/// weight isn't the highest.
pub(super) const BACKGROUND_OBJECTIVE_RATIO: f64 = 2.0;
/// Microseconds per second, to convert rates.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;
