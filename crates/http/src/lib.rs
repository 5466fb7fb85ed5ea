//! HTTP/1.1 as bytes: the heads of requests and answers, and chunked bodies as they come.

/// The longest head.
const HEAD: usize = 8 * 1024;
/// The longest body of a request.
pub const BODY: usize = 64 * 1024;

/// Why bytes can't be understood; its text names the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

type Part<T> = Result<Option<T>, Malformed>;

fn head(bytes: &[u8]) -> Part<(&str, usize)> {
    match bytes.windows(4).take(HEAD).position(|w| w == b"\r\n\r\n") {
        Some(end) => match std::str::from_utf8(&bytes[..end]) {
            Ok(text) => Ok(Some((text, end + 4))),
            Err(_) => Err(Malformed("a head is not text")),
        },
        None if bytes.len() >= HEAD => Err(Malformed("a head is too long")),
        None => Ok(None),
    }
}

/// How the body of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// In chunks.
    Chunked,
    /// So many bytes.
    Known(u64),
    /// Until the connection ends.
    ToEnd,
}

/// The head of an answer: its status and how its body comes, and the head's length; none while it is not whole.
pub fn answer_head(bytes: &[u8]) -> Part<(u16, Length, usize)> {
    let Some((text, end)) = head(bytes)? else { return Ok(None) };
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix("HTTP/1.").and_then(|r| r.split(' ').nth(1));
    let status = status.and_then(|s| s.parse().ok()).ok_or(Malformed("not a status line"))?;
    let mut length = Length::ToEnd;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Malformed("not a header"))?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            length = Length::Chunked;
        } else if name.eq_ignore_ascii_case("content-length") && length != Length::Chunked {
            length = Length::Known(value.parse().map_err(|_| Malformed("not a length"))?);
        }
    }
    Ok(Some((status, length, end)))
}

/// The method and the target of a request, and the head's length; none while it is not whole.
pub fn request_head(bytes: &[u8]) -> Part<(&str, &str, usize)> {
    let Some((text, end)) = head(bytes)? else { return Ok(None) };
    let mut words = text.split("\r\n").next().unwrap_or_default().split(' ');
    match (words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some(v)) if v.starts_with("HTTP/1.") => Ok(Some((method, target, end))),
        _ => Err(Malformed("not a request line")),
    }
}

/// The body of a request that states its length; none while it is not whole. Without a statement it is empty.
pub fn request_body(bytes: &[u8]) -> Part<&[u8]> {
    let Some((text, end)) = head(bytes)? else { return Ok(None) };
    let mut length = 0;
    for line in text.split("\r\n").skip(1) {
        let (name, value) = line.split_once(':').ok_or(Malformed("not a header"))?;
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Malformed("a body must state its length"));
        }
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse::<usize>().map_err(|_| Malformed("not a length"))?;
        }
    }
    if length > BODY {
        return Err(Malformed("a body has 64 KiB at most"));
    }
    Ok(bytes.get(end..end + length))
}

/// A part of a target with its `%` escapes resolved; what is no escape stays as it is.
pub fn unescape(text: &str) -> String {
    let digit = |b: Option<&u8>| b.and_then(|b| char::from(*b).to_digit(16));
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while let Some(byte) = bytes.get(at) {
        match (byte, digit(bytes.get(at + 1)), digit(bytes.get(at + 2))) {
            (b'%', Some(high), Some(low)) => {
                out.push((16 * high + low) as u8);
                at += 3;
            }
            _ => {
                out.push(*byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Where a chunked body stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Chunks {
    /// Before a chunk's size.
    #[default]
    Size,
    /// So many bytes of a chunk and its line end are still to come.
    Data(u64),
    /// Before the line end of a chunk.
    LineEnd,
    /// The last chunk has come.
    Done,
}

impl Chunks {
    /// Takes what can be taken off the front: appends the body's bytes and returns how many bytes were used.
    pub fn read(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match *self {
                Chunks::Done => return Ok(used),
                Chunks::Size => {
                    let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                        let long = rest.len() > 256;
                        return if long { Err(Malformed("a chunk's size is too long")) } else { Ok(used) };
                    };
                    let text = std::str::from_utf8(&rest[..end]).unwrap_or_default();
                    let size = text.split(';').next().unwrap_or_default().trim();
                    let size = u64::from_str_radix(size, 16).map_err(|_| Malformed("not a chunk's size"))?;
                    used += end + 1;
                    *self = if size == 0 { Chunks::Done } else { Chunks::Data(size) };
                }
                Chunks::Data(left) => {
                    let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    body.extend_from_slice(&rest[..count]);
                    used += count;
                    *self = if count as u64 == left {
                        Chunks::LineEnd
                    } else {
                        Chunks::Data(left - count as u64)
                    };
                    if rest.is_empty() {
                        return Ok(used);
                    }
                }
                Chunks::LineEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        *self = Chunks::Size;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(Malformed("a chunk does not end where it should")),
                },
            }
        }
    }
}

/// A whole answer with a short body, after which the connection closes.
pub fn answer(status: u16, reason: &str, body: &str) -> Vec<u8> {
    let head =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}", body.len());
    format!("{head}\r\nConnection: close\r\n\r\n{body}").into_bytes()
}
