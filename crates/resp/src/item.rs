//! Lines, numbers and bulk strings: the parts of commands and replies.
use crate::ParseError;

/// The longest line: an error, a number or a length.
const MAX_LINE_BYTES: usize = 1024;

/// The result of parsing the front of a buffer: `None` while what begins there is incomplete.
pub type Parsed<T> = Result<Option<T>, ParseError>;

/// Parses the line that begins at `start`; returns it with the offset after its line end.
pub(crate) fn line(bytes: &[u8], start: usize) -> Parsed<(&[u8], usize)> {
    let rest = bytes.get(start..).unwrap_or_default();
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => Ok(Some((&rest[..end - 1], start + end + 1))),
        Some(_) => Err(ParseError::MissingCarriageReturn),
        None if rest.len() >= MAX_LINE_BYTES => Err(ParseError::LineTooLong),
        None => Ok(None),
    }
}

/// Parses a decimal number.
pub(crate) fn number(text: &[u8]) -> Result<i64, ParseError> {
    let parsed = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
    parsed.ok_or(ParseError::InvalidNumber)
}

/// Parses the content of a bulk string of the stated length, which begins at `start`; returns it with the offset after its
/// line end. A null bulk string, of length -1, has no content.
pub(crate) fn bulk(
    bytes: &[u8],
    stated_length: i64,
    start: usize,
    max_bytes: usize,
) -> Parsed<(Option<&[u8]>, usize)> {
    if stated_length == -1 {
        return Ok(Some((None, start)));
    }
    let Ok(length) = usize::try_from(stated_length) else { return Err(ParseError::InvalidBulkLength) };
    if length > max_bytes {
        return Err(ParseError::ValueTooLong);
    }
    let end = start + length;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((Some(&bytes[start..end]), end + 2))),
        Some(_) => Err(ParseError::InvalidValueEnd),
        None => Ok(None),
    }
}
