//! Chunked bodies (RFC 9112, section 7.1), without trailers.
use crate::ParseError;

/// The longest line with a chunk's size.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// An incremental decoder of a chunked body, by what it expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChunkDecoder {
    /// The line with a chunk's size.
    #[default]
    Size,
    /// This number of bytes of the chunk's data.
    Data(u64),
    /// The line end that follows a chunk's data.
    LineEnd,
    /// Nothing: the size of the last chunk has been read.
    Done,
}

impl ChunkDecoder {
    /// Decodes as much as possible: appends the body's data to `body` and returns the number of consumed bytes.
    ///
    /// # Errors
    /// A chunk's size is invalid, or its data is not followed by CRLF.
    pub fn read(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            match *self {
                ChunkDecoder::Done => return Ok(consumed),
                ChunkDecoder::Size => {
                    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
                        let is_too_long = rest.len() > MAX_SIZE_LINE_BYTES;
                        return if is_too_long { Err(ParseError::ChunkSizeTooLong) } else { Ok(consumed) };
                    };
                    *self = match parse_size(&rest[..end])? {
                        0 => ChunkDecoder::Done,
                        size => ChunkDecoder::Data(size),
                    };
                    consumed += end + 1;
                }
                ChunkDecoder::Data(data_remaining) => {
                    let count = rest.len().min(usize::try_from(data_remaining).unwrap_or(usize::MAX));
                    body.extend_from_slice(&rest[..count]);
                    consumed += count;
                    *self = match data_remaining - count as u64 {
                        0 => ChunkDecoder::LineEnd,
                        remaining => ChunkDecoder::Data(remaining),
                    };
                    if rest.is_empty() {
                        return Ok(consumed);
                    }
                }
                ChunkDecoder::LineEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        consumed += 2;
                        *self = ChunkDecoder::Size;
                    }
                    [] | [b'\r'] => return Ok(consumed),
                    _ => return Err(ParseError::InvalidChunkEnd),
                },
            }
        }
    }
}

/// Parses the size in a chunk's first line, without the extensions that may follow it.
fn parse_size(line: &[u8]) -> Result<u64, ParseError> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let size = text.split(';').next().unwrap_or_default().trim();
    let Ok(size) = u64::from_str_radix(size, 16) else { return Err(ParseError::InvalidChunkSize) };
    Ok(size)
}
