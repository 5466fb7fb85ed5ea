//! What can go wrong.
use std::path::PathBuf;

/// Why a measurement ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line can't be fitted.
    #[error("too few sizes for a line: {0}, and at least 2 are needed")]
    TooFewSizes(usize),
    /// A figure is no number.
    #[error("a size or figure is not finite")]
    NotFinite,
    /// An option's value does not do.
    #[error("{option}: {reason}")]
    Option {
        /// The option.
        option: &'static str,
        /// Why.
        reason: String,
    },
    /// A file or process can't be used.
    #[error("{path}: {source}")]
    Io {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A part refused what it was given.
    #[error("{part}: {reason}")]
    Part {
        /// Which.
        part: &'static str,
        /// Why.
        reason: String,
    },
}

impl Error {
    /// A file or process that can't be used.
    pub fn io(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> Error {
        let path = path.into();
        move |source| Error::Io { path, source }
    }

    /// A part that refused what it was given.
    pub fn part(part: &'static str, reason: impl ToString) -> Error {
        Error::Part { part, reason: reason.to_string() }
    }
}
