//! RESP2 as bytes: commands and replies are read from the front of a buffer, which may hold only a part of one.

/// The longest value of a command.
pub const LONGEST: usize = 64 * 1024;
/// The most words of a command, and of an array in a reply.
const MOST: usize = 64;
/// The longest line: an error, a number or a length.
const LINE: usize = 1024;
/// How deep arrays may lie in arrays.
const DEEPEST: usize = 4;

/// Why bytes can't be understood; its text names the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What a reply may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A bulk string, or null.
    Bulk(Option<&'a [u8]>),
    /// An array; a null one is empty.
    Array(Vec<Reply<'a>>),
    /// A line.
    Simple(&'a [u8]),
    /// An error line.
    Error(&'a [u8]),
    /// A number.
    Number(i64),
}

/// A part of what comes: whole, not yet whole, or malformed.
pub type Part<T> = Result<Option<T>, Malformed>;

fn line(bytes: &[u8], at: usize) -> Part<(&[u8], usize)> {
    let rest = bytes.get(at..).unwrap_or_default();
    match rest.iter().take(LINE).position(|b| *b == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => Ok(Some((&rest[..end - 1], at + end + 1))),
        Some(_) => Err(Malformed("a line ends without CR")),
        None if rest.len() >= LINE => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

fn number(text: &[u8]) -> Result<i64, Malformed> {
    let text = std::str::from_utf8(text).map_err(|_| Malformed("not a number"))?;
    text.parse().map_err(|_| Malformed("not a number"))
}

fn bulk(bytes: &[u8], length: i64, at: usize, longest: usize) -> Part<(Option<&[u8]>, usize)> {
    if length == -1 {
        return Ok(Some((None, at)));
    }
    let length = usize::try_from(length).map_err(|_| Malformed("invalid bulk length"))?;
    if length > longest {
        return Err(Malformed("a value is too long"));
    }
    match bytes.get(at + length..at + length + 2) {
        Some(b"\r\n") => Ok(Some((Some(&bytes[at..at + length]), at + length + 2))),
        Some(_) => Err(Malformed("a value does not end where it should")),
        None => Ok(None),
    }
}

/// The words of the first command and its length in bytes; none while it is not whole.
pub fn command(bytes: &[u8]) -> Part<(Vec<&[u8]>, usize)> {
    match bytes.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command must be an array")),
    }
    let Some((head, mut at)) = line(bytes, 1)? else { return Ok(None) };
    let count = match usize::try_from(number(head)?) {
        Ok(count) if (1..=MOST).contains(&count) => count,
        _ => return Err(Malformed("invalid number of words")),
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(Malformed("a word must be a bulk string")),
        }
        let Some((length, start)) = line(bytes, at + 1)? else { return Ok(None) };
        let Some((word, next)) = bulk(bytes, number(length)?, start, LONGEST)? else { return Ok(None) };
        words.push(word.ok_or(Malformed("a word is null"))?);
        at = next;
    }
    Ok(Some((words, at)))
}

fn reply_at(bytes: &[u8], at: usize, depth: usize, longest: usize) -> Part<(Reply<'_>, usize)> {
    let Some(kind) = bytes.get(at) else { return Ok(None) };
    if !b"+-:$*".contains(kind) {
        return Err(Malformed("unknown kind of reply"));
    }
    let Some((head, next)) = line(bytes, at + 1)? else { return Ok(None) };
    Ok(Some(match kind {
        b'+' => (Reply::Simple(head), next),
        b'-' => (Reply::Error(head), next),
        b':' => (Reply::Number(number(head)?), next),
        b'$' => match bulk(bytes, number(head)?, next, longest)? {
            Some((value, next)) => (Reply::Bulk(value), next),
            None => return Ok(None),
        },
        _ => {
            let count = number(head)?.max(0) as usize;
            if count > MOST || depth >= DEEPEST {
                return Err(Malformed("an array is too large"));
            }
            let (mut parts, mut next) = (Vec::with_capacity(count), next);
            for _ in 0..count {
                let Some((part, end)) = reply_at(bytes, next, depth + 1, longest)? else { return Ok(None) };
                parts.push(part);
                next = end;
            }
            (Reply::Array(parts), next)
        }
    }))
}

/// The head of a long value that begins an array: how many parts the array has, the value's length, and the bytes that
/// the head takes. None where the reply is of another kind, or its head is not whole.
pub fn long_head(bytes: &[u8], above: usize) -> Option<(usize, usize, usize)> {
    let (count, at) = line(bytes.strip_prefix(b"*").map(|_| bytes)?, 1).ok()??;
    let count = usize::try_from(number(count).ok()?).ok().filter(|n| (1..=MOST).contains(n))?;
    let (length, used) = line(bytes.get(at).filter(|b| **b == b'$').map(|_| bytes)?, at + 1).ok()??;
    let length = usize::try_from(number(length).ok()?).ok().filter(|n| *n > above)?;
    Some((count, length, used))
}

/// The parts of an array that follow after its first, and their length in bytes; none while they are not whole.
pub fn parts(bytes: &[u8], count: usize, longest: usize) -> Part<(Vec<Reply<'_>>, usize)> {
    let (mut parts, mut at) = (Vec::new(), 0);
    for _ in 0..count {
        let Some((part, end)) = reply_at(bytes, at, 1, longest)? else { return Ok(None) };
        parts.push(part);
        at = end;
    }
    Ok(Some((parts, at)))
}

/// The first reply and its length in bytes; none while it is not whole. A value of it may be `longest` bytes.
pub fn reply(bytes: &[u8], longest: usize) -> Part<(Reply<'_>, usize)> {
    reply_at(bytes, 0, 0, longest)
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a command.
pub fn write_command(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|w| write_bulk(out, w));
}
