//! Limits on the size of the replicated state. Commands that would exceed one are rejected.

/// Open requests.
pub const OPEN_REQUESTS: usize = 64;
/// Backends of one request.
pub const BACKENDS_PER_REQUEST: usize = 64;
/// Backends of all open requests together.
pub const REQUESTED_BACKENDS: usize = 512;
/// Length of a request's name, in bytes.
pub const NAME_BYTES: usize = 128;
/// Ended requests that are kept.
pub const ENDED_REQUESTS: usize = 256;
/// Known backends.
pub const BACKENDS: usize = 4096;
/// Known volumes.
pub const VOLUMES: usize = 8192;
/// Backends that store one volume.
pub const BACKENDS_PER_VOLUME: usize = 256;
/// Known members.
pub const MEMBERS: usize = 256;
/// Backends, and also volumes, in one [`crate::Command::Observe`].
pub const FACTS_PER_COMMAND: usize = 128;
