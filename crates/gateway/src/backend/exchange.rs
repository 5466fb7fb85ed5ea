//! How an exchange with a backend ends.
use crate::backend::value::AttemptEnd;

/// The result of sending a command.
pub enum Exchanged {
    /// The attempt has ended.
    Ended(AttemptEnd),
    /// A long value has begun, as the first part of an array; its head is consumed.
    StreamBegun {
        /// The parts of the array that follow the value.
        parts: usize,
        /// The value's length in bytes.
        length: usize,
    },
}
