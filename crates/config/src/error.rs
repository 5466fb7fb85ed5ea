//! Configuration errors.

/// An invalid key of the configuration, and the reason.
///
/// The message begins with the key, so that operators can search their file for it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ConfigError {
    /// The key as a path, such as `accord.member[1].at`; the file's name if the file can't be parsed at all.
    pub key: String,
    /// What is wrong with its value.
    pub reason: String,
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), reason: reason.into() }
    }
}

/// The result of a check that rejects this key.
pub(crate) fn invalid<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError::new(key, reason))
}
