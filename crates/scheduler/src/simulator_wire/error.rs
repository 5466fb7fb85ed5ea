//! Errors in the input.
use std::io;
use thiserror::Error;

/// Why the adapter stopped before the end of the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line can't be parsed.
    #[error("line {line}: {reason}")]
    Malformed {
        /// The line number, starting from 1.
        line: usize,
        /// The reason.
        reason: LineError,
    },
    /// Reading the input or writing the output failed.
    #[error("pipe: {0}")]
    Io(#[from] io::Error),
}

/// Why a line can't be parsed.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line isn't UTF-8.
    #[error(transparent)]
    Encoding(io::Error),
    /// The line isn't JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line isn't an object with a message name.
    #[error("no message name under \"m\"")]
    NoMessageName,
    /// The message must name an instance, and doesn't.
    #[error("{message} without \"Who\"")]
    NoInstance {
        /// The message's name.
        message: &'static str,
    },
    /// A field holds an undefined code.
    #[error("{field}: unknown value {value}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u32,
    },
    /// The settings of an instance can't be parsed.
    #[error(transparent)]
    Setup(#[from] SetupError),
}

/// Why the settings object of an instance can't be parsed.
#[derive(Debug, Error)]
pub enum SetupError {
    /// A field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field of a class holds an undefined value.
    #[error("Classes[{class}].{field}: unknown value {value:?}")]
    UnknownValue {
        /// Index of the class.
        class: usize,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
}
