//! Chunked bodies (RFC 9112, section 7.1), without trailers.
use crate::ParseError;

/// The longest line with a chunk's size.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// The state of a chunked body's decoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChunkDecoder {
    /// Before a chunk's size.
    #[default]
    Size,
    /// So many bytes of the chunk's data are still missing.
    Data(u64),
    /// Before the line end that follows a chunk's data.
    LineEnd,
    /// The last chunk's size has been read.
    Done,
}

impl ChunkDecoder {
    /// Decodes what can be decoded: appends the body's bytes to `body` and returns how many bytes were used.
    ///
    /// # Errors
    /// A chunk's size is invalid, or its data doesn't end with a line end.
    pub fn read(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match *self {
                ChunkDecoder::Done => return Ok(used),
                ChunkDecoder::Size => {
                    let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
                        let is_too_long = rest.len() > MAX_SIZE_LINE_BYTES;
                        return if is_too_long { Err(ParseError::ChunkSizeTooLong) } else { Ok(used) };
                    };
                    *self = match parse_size(&rest[..end])? {
                        0 => ChunkDecoder::Done,
                        size => ChunkDecoder::Data(size),
                    };
                    used += end + 1;
                }
                ChunkDecoder::Data(missing) => {
                    let count = rest.len().min(usize::try_from(missing).unwrap_or(usize::MAX));
                    body.extend_from_slice(&rest[..count]);
                    used += count;
                    *self = match missing - count as u64 {
                        0 => ChunkDecoder::LineEnd,
                        still_missing => ChunkDecoder::Data(still_missing),
                    };
                    if rest.is_empty() {
                        return Ok(used);
                    }
                }
                ChunkDecoder::LineEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        *self = ChunkDecoder::Size;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(ParseError::InvalidChunkEnd),
                },
            }
        }
    }
}

/// The size in a chunk's first line, without the extensions that may follow it.
fn parse_size(line: &[u8]) -> Result<u64, ParseError> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let size = text.split(';').next().unwrap_or_default().trim();
    let Ok(size) = u64::from_str_radix(size, 16) else { return Err(ParseError::InvalidChunkSize) };
    Ok(size)
}
