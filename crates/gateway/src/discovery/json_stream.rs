//! Splits a stream of JSON objects into single ones. An object may span lines, and empty lines may stand between objects.
use std::ops::Range;

/// The longest object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// The bytes are not a stream of objects, or an object is too long.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a stream of objects")]
pub struct NotObjects;

/// The bytes that were received and not consumed, and how far they were scanned.
#[derive(Default)]
pub struct JsonStream {
    buffer: Vec<u8>,
    /// The end of the scanned bytes.
    scanned: usize,
    /// The start of the object that is incomplete.
    start: usize,
    /// How many braces and brackets are open.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// Whether a line has ended between objects since `take_line_end`.
    has_line_end: bool,
    /// Whether anything but whitespace has arrived since `take_has_activity`.
    has_content: bool,
}

impl JsonStream {
    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// The range of the next complete object, if there is one. The end of a line does not end an object: lists may be indented.
    ///
    /// # Errors
    /// [`NotObjects`]; the stream can't be continued then.
    pub fn next_object(&mut self) -> Result<Option<Range<usize>>, NotObjects> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            self.has_content |= !byte.is_ascii_whitespace();
            if self.is_in_string {
                self.scan_string(byte);
                continue;
            }
            match byte {
                b'{' | b'[' => {
                    if self.depth == 0 {
                        self.start = self.scanned - 1;
                    }
                    self.depth += 1;
                }
                b'}' | b']' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.start..self.scanned));
                }
                b'}' | b']' if self.depth > 1 => self.depth -= 1,
                b'\n' if self.depth == 0 => self.has_line_end = true,
                b'"' if self.depth > 0 => self.is_in_string = true,
                _ if byte.is_ascii_whitespace() || self.depth > 0 => {}
                _ => return Err(NotObjects),
            }
        }
        self.discard_consumed();
        if self.buffer.len() > MAX_OBJECT_BYTES {
            Err(NotObjects)
        } else {
            Ok(None)
        }
    }

    fn scan_string(&mut self, byte: u8) {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.is_in_string = false,
            _ => {}
        }
    }

    /// The bytes of an object.
    pub fn bytes(&self, object: Range<usize>) -> &[u8] {
        self.buffer.get(object).unwrap_or_default()
    }

    /// Whether a line has ended between objects since the last call: the stream is established.
    pub fn take_line_end(&mut self) -> bool {
        std::mem::take(&mut self.has_line_end)
    }

    /// Whether the stream has been active since the last call. Whitespace within an object does not count: the sender may have
    /// stopped in the middle of it.
    pub fn take_has_activity(&mut self) -> bool {
        std::mem::take(&mut self.has_content) || self.depth == 0
    }

    /// Discards the scanned bytes that belong to no incomplete object.
    fn discard_consumed(&mut self) {
        let consumed = if self.depth > 0 { self.start } else { self.scanned };
        self.buffer.drain(..consumed);
        self.scanned -= consumed;
        self.start = 0;
    }
}
