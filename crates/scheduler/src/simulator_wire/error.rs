//! What can be wrong with the input.
use std::io;
use thiserror::Error;

/// Why reading ended before the input did.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line that can't be understood.
    #[error("line {line}: {reason}")]
    Malformed {
        /// Its number, from 1.
        line: usize,
        /// What is wrong with it.
        reason: LineError,
    },
    /// The pipe failed.
    #[error("pipe: {0}")]
    Io(#[from] io::Error),
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// It isn't UTF-8.
    #[error(transparent)]
    Encoding(io::Error),
    /// It isn't JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It isn't an object with a message name.
    #[error("no message name under \"m\"")]
    NoMessageName,
    /// A message to an instance that doesn't name the instance.
    #[error("{message} without \"Who\"")]
    NoInstance {
        /// The message's name.
        message: &'static str,
    },
    /// A field with a code that has no meaning.
    #[error("{field}: unknown value {value}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u32,
    },
    /// The settings of an instance.
    #[error(transparent)]
    Setup(#[from] SetupError),
}

/// What is wrong with the object that an instance is given at its start.
#[derive(Debug, Error)]
pub enum SetupError {
    /// A field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field of a class has a value that has no meaning.
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
