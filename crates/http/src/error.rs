//! Parse errors.

/// Why a message can't be parsed. The connection can't be used after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A head is not UTF-8.
    #[error("a head is not text")]
    HeadNotText,
    /// A head exceeds its bound, or has no end within it.
    #[error("a head is too long")]
    HeadTooLong,
    /// The first line of a response is not an HTTP/1 status line.
    #[error("invalid HTTP/1 status line")]
    InvalidStatusLine,
    /// The first line of a request is not an HTTP/1 request line.
    #[error("not a request line")]
    InvalidRequestLine,
    /// A header line has no colon.
    #[error("not a header")]
    InvalidHeader,
    /// The value of Content-Length is not a number.
    #[error("not a length")]
    InvalidContentLength,
    /// A request has a transfer encoding, which isn't supported.
    #[error("a body must state its length")]
    LengthRequired,
    /// A request's body exceeds [`crate::MAX_BODY_BYTES`].
    #[error("a body has 64 KiB at most")]
    BodyTooLong,
    /// The line with a chunk's size exceeds its bound.
    #[error("the line with a chunk's size is too long")]
    ChunkSizeTooLong,
    /// A chunk's size is not a hexadecimal number.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// The data of a chunk is not followed by CRLF.
    #[error("the data of a chunk is not followed by CRLF")]
    InvalidChunkEnd,
}
