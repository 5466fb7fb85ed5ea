//! Server side: parsing of commands.
use crate::item::{bulk, line, number, Parsed};
use crate::{ParseError, MAX_ELEMENTS, MAX_VALUE_BYTES};

/// Parses the first command; returns its words and its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// The bytes are not an array of 1 to 64 bulk strings, or one of them is longer than [`MAX_VALUE_BYTES`].
pub fn command(bytes: &[u8]) -> Parsed<(Vec<&[u8]>, usize)> {
    match bytes.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(ParseError::CommandNotArray),
    }
    let Some((count, mut offset)) = line(bytes, 1)? else { return Ok(None) };
    let count = match usize::try_from(number(count)?) {
        Ok(count) if (1..=MAX_ELEMENTS).contains(&count) => count,
        _ => return Err(ParseError::InvalidWordCount),
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(offset) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(ParseError::WordNotBulkString),
        }
        let Some((length, start)) = line(bytes, offset + 1)? else { return Ok(None) };
        let Some((word, end)) = bulk(bytes, number(length)?, start, MAX_VALUE_BYTES)? else {
            return Ok(None);
        };
        words.push(word.ok_or(ParseError::WordIsNull)?);
        offset = end;
    }
    Ok(Some((words, offset)))
}
