//! Parse errors.

/// Why the input is not valid RESP2. The connection can't be used after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A line ends with LF alone.
    #[error("a line ends without CR")]
    MissingCarriageReturn,
    /// A line exceeds its bound.
    #[error("a line is too long")]
    LineTooLong,
    /// A number is not decimal, or doesn't fit into 64 bits.
    #[error("not a number")]
    InvalidNumber,
    /// The length of a bulk string is negative and not -1, which stands for null.
    #[error("invalid bulk length")]
    InvalidBulkLength,
    /// A bulk string exceeds its bound.
    #[error("a value is too long")]
    ValueTooLong,
    /// A bulk string is not followed by CRLF.
    #[error("a value does not end where it should")]
    InvalidValueEnd,
    /// A command is not an array.
    #[error("a command must be an array")]
    CommandNotArray,
    /// A command has no words, or too many.
    #[error("invalid number of words")]
    InvalidWordCount,
    /// A word of a command is not a bulk string.
    #[error("a word must be a bulk string")]
    WordNotBulkString,
    /// A word of a command is null.
    #[error("a word is null")]
    WordIsNull,
    /// The first byte of a reply is not a known type.
    #[error("unknown kind of reply")]
    UnknownReplyType,
    /// An array has too many elements, or is nested too deeply.
    #[error("an array is too large")]
    ArrayTooLarge,
}
