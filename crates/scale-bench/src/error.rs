//! Errors of the measurements.
use std::path::PathBuf;

/// Why a measurement ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line can't be fitted.
    #[error("too few sizes for a line: {0}, and at least 2 are needed")]
    TooFewSizes(usize),
    /// A size or figure is not finite.
    #[error("a size or figure is not finite")]
    NotFinite,
    /// An option's value is invalid.
    #[error("{option}: {reason}")]
    Option {
        /// The option.
        option: &'static str,
        /// The cause.
        reason: String,
    },
    /// A file or process can't be used.
    #[error("{path}: {source}")]
    Io {
        /// The file or process.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A component rejected its input.
    #[error("{component}: {reason}")]
    Component {
        /// The component.
        component: &'static str,
        /// The cause.
        reason: String,
    },
}

impl Error {
    /// Creates the error for a file or process that can't be used.
    pub fn io(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> Error {
        let path = path.into();
        move |source| Error::Io { path, source }
    }

    /// Creates the error for a component that rejected its input.
    pub fn component(component: &'static str, reason: impl ToString) -> Error {
        Error::Component { component, reason: reason.to_string() }
    }
}
