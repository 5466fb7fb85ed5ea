//! Identifiers, and time.
pub use cluster_types::BackendId;
use std::sync::Arc;

/// A point in time or a span of it, in whole microseconds.
///
/// Signed, so that settings with negative spans can be read and then rejected by name. Points in time count
/// from an origin that the caller chooses; the scheduler only compares and subtracts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

/// A request, as the caller numbers it; never reused for another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A volume: the holder of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VolumeId(pub Arc<str>);

/// The piece of data that a request reads or writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub Arc<str>);

/// A shard: the part of the data that one backend holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u32);
