//! What is wrong with a configuration.
use std::fmt;

/// What is wrong, and with which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Fault {}

/// The fault of a key.
pub(crate) fn fault<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { key: key.into(), reason: reason.into() })
}
