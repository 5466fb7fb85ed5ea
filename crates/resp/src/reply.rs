//! Client side: parsing of replies.
use crate::item::{bulk, line, number, Parsed};
use crate::{ParseError, MAX_ELEMENTS};

/// The deepest allowed nesting of arrays.
const MAX_DEPTH: usize = 4;

/// The most elements of all arrays of a reply together. An incomplete reply is parsed again with each read, so that more would cost
/// time in proportion to their square.
const MAX_REPLY_ELEMENTS: usize = 4 * MAX_ELEMENTS;

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A bulk string, or null.
    Bulk(Option<&'a [u8]>),
    /// An array; a null one is empty.
    Array(Vec<Reply<'a>>),
    /// A simple string.
    Simple(&'a [u8]),
    /// An error line.
    Error(&'a [u8]),
    /// An integer.
    Integer(i64),
}

/// The parser's position in a buffer.
#[derive(Clone, Copy)]
struct Position {
    offset: usize,
    /// The number of arrays that enclose the position.
    depth: usize,
}

/// Parses the first reply, whose values may have at most `max_value_bytes`; returns it with its length in bytes, or `None`
/// while it is incomplete.
///
/// # Errors
/// The bytes are not a valid reply, or one of its lines, values or arrays is too large.
pub fn reply(bytes: &[u8], max_value_bytes: usize) -> Parsed<(Reply<'_>, usize)> {
    let mut elements_left = MAX_REPLY_ELEMENTS;
    reply_at(bytes, Position { offset: 0, depth: 0 }, max_value_bytes, &mut elements_left)
}

/// Parses `count` replies, the remaining elements of an array; returns them with their length in bytes, or `None` while they
/// are incomplete.
///
/// # Errors
/// As for [`reply`].
pub fn replies(bytes: &[u8], count: usize, max_value_bytes: usize) -> Parsed<(Vec<Reply<'_>>, usize)> {
    let mut elements_left = MAX_REPLY_ELEMENTS;
    replies_at(bytes, Position { offset: 0, depth: 1 }, count, max_value_bytes, &mut elements_left)
}

fn replies_at<'a>(
    bytes: &'a [u8],
    mut position: Position,
    count: usize,
    max_value_bytes: usize,
    elements_left: &mut usize,
) -> Parsed<(Vec<Reply<'a>>, usize)> {
    *elements_left = elements_left.checked_sub(count).ok_or(ParseError::ArrayTooLarge)?;
    let mut replies = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((reply, end)) = reply_at(bytes, position, max_value_bytes, elements_left)? else {
            return Ok(None);
        };
        replies.push(reply);
        position.offset = end;
    }
    Ok(Some((replies, position.offset)))
}

fn reply_at<'a>(
    bytes: &'a [u8],
    position: Position,
    max_value_bytes: usize,
    elements_left: &mut usize,
) -> Parsed<(Reply<'a>, usize)> {
    let Some(kind) = bytes.get(position.offset) else { return Ok(None) };
    if !b"+-:$*".contains(kind) {
        return Err(ParseError::UnknownReplyType);
    }
    let Some((head, end)) = line(bytes, position.offset + 1)? else { return Ok(None) };
    Ok(match kind {
        b'+' => Some((Reply::Simple(head), end)),
        b'-' => Some((Reply::Error(head), end)),
        b':' => Some((Reply::Integer(number(head)?), end)),
        b'$' => {
            let value = bulk(bytes, number(head)?, end, max_value_bytes)?;
            value.map(|(value, end)| (Reply::Bulk(value), end))
        }
        _ => {
            // A null array has the count -1.
            let count = number(head)?.max(0) as usize;
            if count > MAX_ELEMENTS || position.depth >= MAX_DEPTH {
                return Err(ParseError::ArrayTooLarge);
            }
            let first = Position { offset: end, depth: position.depth + 1 };
            let elements = replies_at(bytes, first, count, max_value_bytes, elements_left)?;
            elements.map(|(elements, end)| (Reply::Array(elements), end))
        }
    })
}

/// The head of an array whose first element is a long value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongValueHead {
    /// The number of the array's elements.
    pub elements: usize,
    /// The length of the value, in bytes.
    pub value_bytes: usize,
    /// The length of the head itself, in bytes: the value begins after it.
    pub length: usize,
}

/// Parses the head of an array whose first element is longer than `longer_than_bytes`. Returns `None` for any other reply,
/// an invalid one or an incomplete head: [`reply`] tells these apart.
pub fn long_value_head(bytes: &[u8], longer_than_bytes: usize) -> Option<LongValueHead> {
    if bytes.first() != Some(&b'*') {
        return None;
    }
    let (elements, offset) = line(bytes, 1).ok()??;
    let elements = usize::try_from(number(elements).ok()?).ok()?;
    if !(1..=MAX_ELEMENTS).contains(&elements) || bytes.get(offset) != Some(&b'$') {
        return None;
    }
    let (value_bytes, length) = line(bytes, offset + 1).ok()??;
    let value_bytes = usize::try_from(number(value_bytes).ok()?).ok()?;
    (value_bytes > longer_than_bytes).then_some(LongValueHead { elements, value_bytes, length })
}
