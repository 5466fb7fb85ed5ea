//! Positions in the log.
use crate::key::{Key, Topic};
use cluster_types::Index;

/// A position in the log. It includes the key because all keys of a batch share its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    pub version: Index,
    pub key: Key,
}

impl LogPosition {
    /// A position that sorts before all changes after a version: it has the least topic and an empty name.
    pub fn first_after(version: Index) -> LogPosition {
        LogPosition { version: Index(version.0.saturating_add(1)), key: Key::new(Topic::Fleet, "") }
    }
}
