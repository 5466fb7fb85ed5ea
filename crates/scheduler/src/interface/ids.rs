//! Identifiers and timestamps.
pub use cluster_types::BackendId;
use std::sync::Arc;

/// A timestamp or a duration, in whole microseconds.
///
/// Signed, so that settings with negative durations can be parsed and then rejected by name. Timestamps count
/// from an origin chosen by the caller; the scheduler only compares and subtracts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

/// A request number, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A volume, which owns one session.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VolumeId(pub Arc<str>);

/// The key of the data that a request reads or writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub Arc<str>);

/// A shard: the part of the data held by one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u32);
