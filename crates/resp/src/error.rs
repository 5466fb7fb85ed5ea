//! What makes the bytes of a connection invalid.

/// Why bytes are no RESP2; the connection can't go on after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A line ends with LF alone.
    #[error("a line ends without CR")]
    MissingCarriageReturn,
    /// A line exceeds its bound.
    #[error("a line is too long")]
    LineTooLong,
    /// A number has another form than decimal, or doesn't fit.
    #[error("not a number")]
    InvalidNumber,
    /// The length of a bulk string is negative, and not that of a null.
    #[error("invalid bulk length")]
    InvalidBulkLength,
    /// A bulk string exceeds its bound.
    #[error("a value is too long")]
    ValueTooLong,
    /// A bulk string is not followed by a line end.
    #[error("a value does not end where it should")]
    InvalidValueEnd,
    /// A command doesn't begin as an array.
    #[error("a command must be an array")]
    CommandNotArray,
    /// A command has no words, or too many.
    #[error("invalid number of words")]
    InvalidWordCount,
    /// A word of a command is no bulk string.
    #[error("a word must be a bulk string")]
    WordNotBulkString,
    /// A word of a command is a null.
    #[error("a word is null")]
    WordIsNull,
    /// A reply begins with a byte that names no type.
    #[error("unknown kind of reply")]
    UnknownReplyType,
    /// An array has too many elements, or is nested too deep.
    #[error("an array is too large")]
    ArrayTooLarge,
}
