//! A value that a subscriber does not accept.
use crate::key::Key;
use cluster_types::Index;
use serde::{Deserialize, Serialize};

/// The longest reason that a subscriber sends, in characters.
pub(crate) const MAX_REASON_CHARS: usize = 200;
/// The longest reason that is accepted, in bytes: a character takes four at most.
pub(crate) const MAX_REASON_BYTES: usize = 4 * MAX_REASON_CHARS;

/// A value that a subscriber does not accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The key.
    pub key: Key,
    /// The version that was rejected.
    pub version: Index,
    /// Why, in plain words; names the setting at fault.
    pub reason: String,
}

impl Rejection {
    /// Whether it is no longer than a subscriber's may be.
    pub(crate) fn is_bounded(&self) -> bool {
        self.key.is_bounded() && self.reason.len() <= MAX_REASON_BYTES
    }
}
