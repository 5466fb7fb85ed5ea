//! Server side: parsing of requests.
use crate::head::{split_head, split_header};
use crate::ParseError;

/// The longest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target, still percent-encoded.
    pub target: &'a str,
    /// The length of the head on the wire, in bytes.
    pub length: usize,
}

/// Parses the head of a request; `None` while it is incomplete.
///
/// # Errors
/// The head is too long or not UTF-8, or doesn't begin with an HTTP/1 request line.
pub fn request_head(bytes: &[u8]) -> Result<Option<RequestHead<'_>>, ParseError> {
    let Some(head) = split_head(bytes)? else { return Ok(None) };
    let mut words = head.text.split("\r\n").next().unwrap_or_default().split(' ');
    match (words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some(version)) if version.starts_with("HTTP/1.") => {
            Ok(Some(RequestHead { method, target, length: head.length }))
        }
        _ => Err(ParseError::InvalidRequestLine),
    }
}

/// Parses the body of a request; `None` while it is incomplete. Without Content-Length it is empty.
///
/// # Errors
/// The head is invalid, the body has a transfer encoding, or it is longer than [`MAX_BODY_BYTES`].
pub fn request_body(bytes: &[u8]) -> Result<Option<&[u8]>, ParseError> {
    let Some(head) = split_head(bytes)? else { return Ok(None) };
    let mut body_length = 0;
    for line in head.text.split("\r\n").skip(1) {
        let (name, value) = split_header(line)?;
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ParseError::LengthRequired);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let Ok(length) = value.parse::<usize>() else { return Err(ParseError::InvalidContentLength) };
            body_length = length;
        }
    }
    if body_length > MAX_BODY_BYTES {
        return Err(ParseError::BodyTooLong);
    }
    Ok(bytes.get(head.length..head.length + body_length))
}
