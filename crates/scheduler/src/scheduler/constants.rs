//! Constants that several decisions share.

/// Operation credits of a session at one gateway: the client's figure in the DAOS QoS design.
pub(super) const OPERATION_CREDITS: u32 = 128;
/// Payload credits of a session, in requests of the largest size.
pub(super) const PAYLOAD_POOL_REQUESTS: f64 = 16.0;
/// Upper bound of a backend's window, in requests in flight.
pub(super) const MAX_WINDOW: f64 = 32.0;
/// Weight of a sample in moving averages of latency.
pub(super) const LATENCY_SMOOTHING: f64 = 0.125;
/// The part of the expected latency that must still fit before the objective for a queued request to be
/// sent.
pub(super) const REQUIRED_LATENCY_SHARE: f64 = 0.7;
/// An attempt times out after this many average latencies of the backend, but not before its objective;
/// after half of it, the attempt no longer occupies a slot of the window.
pub(super) const TIMEOUT_LATENCIES: f64 = 8.0;
/// A queued request gets its response this many ticks before its client gives up.
pub(super) const RESPONSE_MARGIN_TICKS: i64 = 3;
/// A class is background if its objective is longer than this multiple of the shortest one, and its weight
/// isn't the highest.
pub(super) const BACKGROUND_OBJECTIVE_RATIO: f64 = 2.0;
/// Microseconds in a second, as rates are per second.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;
