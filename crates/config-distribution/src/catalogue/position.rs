//! Positions in the log.
use crate::key::{Key, Topic};
use cluster_types::Index;

/// A position in the log, down to the key: the keys of one batch share its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    pub version: Index,
    pub key: Key,
}

impl LogPosition {
    /// The position before all changes that come after a version: the least topic, and a name shorter than any key's.
    pub fn first_after(version: Index) -> LogPosition {
        LogPosition { version: Index(version.0.saturating_add(1)), key: Key::new(Topic::Fleet, "") }
    }
}
