//! A change of one key, as written in the log.
use crate::key::{Key, MAX_NAME_BYTES};
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 16 * 1024;

/// The approximate overhead of a change in a message, in addition to its name and value.
const CHANGE_OVERHEAD_BYTES: usize = 24;

/// How urgently a change has to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Settings, limits, volumes: sent in batches that hold the newest value of each key.
    Configuration,
    /// The backend of a shard: sent immediately.
    Primary,
}

/// The value of a key as of a version; none where the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The log index of the write.
    pub version: Index,
    /// How urgently it has to be applied.
    pub class: Class,
    /// The key.
    pub key: Key,
    /// Its value; none for a deletion.
    pub value: Option<Arc<[u8]>>,
}

impl Change {
    /// The approximate size in a message, in bytes.
    pub fn bytes(&self) -> usize {
        let name = 2 * MAX_NAME_BYTES.min(self.key.name.len());
        CHANGE_OVERHEAD_BYTES + name + self.value_bytes()
    }

    /// The size of the value, in bytes.
    pub(crate) fn value_bytes(&self) -> usize {
        self.value.as_ref().map_or(0, |value| value.len())
    }

    /// Whether its names and its value are within the limits for writes.
    pub(crate) fn is_bounded(&self) -> bool {
        self.value_bytes() <= MAX_VALUE_BYTES && self.key.is_bounded()
    }
}
