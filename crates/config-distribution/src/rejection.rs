//! Rejections of values by subscribers.
use crate::key::Key;
use cluster_types::Index;
use serde::{Deserialize, Serialize};

/// The maximum length of a reason that a subscriber sends, in characters.
pub(crate) const MAX_REASON_CHARS: usize = 200;
/// The maximum length of a reason that is accepted, in bytes: a character takes at most four.
pub(crate) const MAX_REASON_BYTES: usize = 4 * MAX_REASON_CHARS;

/// A value that a subscriber does not accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The key.
    pub key: Key,
    /// The version that was rejected.
    pub version: Index,
    /// The reason in prose; it names the invalid setting.
    pub reason: String,
}

impl Rejection {
    /// Whether it is within the limits for rejections of subscribers.
    pub(crate) fn is_bounded(&self) -> bool {
        self.key.is_bounded() && self.reason.len() <= MAX_REASON_BYTES
    }
}
