//! Snapshots of the applied state.
use crate::entry::{Incarnations, LogPosition};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state after applying all entries up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry in the snapshot.
    pub last: LogPosition,
    /// The incarnations that are admitted as of that entry.
    pub incarnations: Incarnations,
    /// The host's bytes.
    pub data: Arc<[u8]>,
}
