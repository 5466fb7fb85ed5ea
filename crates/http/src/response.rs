//! Responses: the client side parses their heads, the server side writes short complete ones.
use crate::head::{split_head, split_header};
use crate::ParseError;

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body is chunked; see [`crate::ChunkDecoder`].
    Chunked,
    /// The body has this number of bytes.
    Known(u64),
    /// The body ends when the connection closes.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How the end of the body is determined.
    pub body: BodyLength,
    /// The length of the head on the wire, in bytes.
    pub length: usize,
}

/// Parses the head of a response; `None` while it is incomplete.
///
/// # Errors
/// The head is too long or not UTF-8, or has an invalid status line, header or Content-Length.
pub fn response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, ParseError> {
    let Some(head) = split_head(bytes)? else { return Ok(None) };
    let mut lines = head.text.split("\r\n");
    let status = parse_status(lines.next().unwrap_or_default()).ok_or(ParseError::InvalidStatusLine)?;
    let mut body = BodyLength::UntilClose;
    for line in lines {
        let (name, value) = split_header(line)?;
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = BodyLength::Chunked;
        } else if name.eq_ignore_ascii_case("content-length") && body != BodyLength::Chunked {
            let Ok(length) = value.parse() else { return Err(ParseError::InvalidContentLength) };
            body = BodyLength::Known(length);
        }
    }
    Ok(Some(ResponseHead { status, body, length: head.length }))
}

/// The status code of an HTTP/1 status line.
fn parse_status(line: &str) -> Option<u16> {
    line.strip_prefix("HTTP/1.")?.split(' ').nth(1)?.parse().ok()
}

/// Encodes a complete response with a short text body, after which the connection closes.
pub fn response(status: u16, reason: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}");
    format!("{head}\r\nConnection: close\r\n\r\n{body}").into_bytes()
}
