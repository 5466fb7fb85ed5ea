//! Parsing that the heads of requests and responses share.
use crate::ParseError;

/// The longest head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The end of a head: an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A head as text.
pub(crate) struct Head<'a> {
    /// Its lines, without the empty line at the end.
    pub(crate) text: &'a str,
    /// Its length on the wire, in bytes.
    pub(crate) length: usize,
}

/// Finds the head at the front of the buffer; `None` while it is incomplete.
pub(crate) fn split_head(bytes: &[u8]) -> Result<Option<Head<'_>>, ParseError> {
    let end = bytes.windows(HEAD_END.len()).take(MAX_HEAD_BYTES).position(|window| window == HEAD_END);
    let Some(end) = end else {
        return if bytes.len() >= MAX_HEAD_BYTES { Err(ParseError::HeadTooLong) } else { Ok(None) };
    };
    let Ok(text) = std::str::from_utf8(&bytes[..end]) else { return Err(ParseError::HeadNotText) };
    Ok(Some(Head { text, length: end + HEAD_END.len() }))
}

/// Splits a header line into its name and its value.
pub(crate) fn split_header(line: &str) -> Result<(&str, &str), ParseError> {
    let (name, value) = line.split_once(':').ok_or(ParseError::InvalidHeader)?;
    Ok((name, value.trim()))
}
