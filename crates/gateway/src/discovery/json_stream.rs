//! Cuts a stream of JSON objects into single ones. Each may span lines; empty lines may come between them.
use std::ops::Range;

/// The longest object.
pub const LONGEST: usize = 1024 * 1024;

/// What comes is no stream of objects, or one is too long.
#[derive(Debug, PartialEq, Eq)]
pub struct Faulty;

/// What has come and is not taken yet.
#[derive(Default)]
pub struct Objects {
    body: Vec<u8>,
    /// How much of it has been looked at, and where the object begins that is not whole.
    seen: usize,
    begun: usize,
    depth: usize,
    text: bool,
    escaped: bool,
    /// Whether a line has ended between objects since this was last asked.
    lines: bool,
    /// Whether anything else than blanks has come since this was last asked.
    moved: bool,
}

impl Objects {
    /// Where what comes is to be put.
    pub fn body(&mut self) -> &mut Vec<u8> {
        &mut self.body
    }

    /// The next whole object's place, if it has come.
    ///
    /// Guards against lists that are indented: the end of a line is not the end of an object.
    pub fn next(&mut self) -> Result<Option<Range<usize>>, Faulty> {
        while let Some(byte) = self.body.get(self.seen).copied() {
            self.seen += 1;
            self.moved |= !byte.is_ascii_whitespace();
            if self.text {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.text = false,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'{' | b'[' => {
                    if self.depth == 0 {
                        self.begun = self.seen - 1;
                    }
                    self.depth += 1;
                }
                b'}' | b']' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.begun..self.seen));
                }
                b'}' | b']' if self.depth > 1 => self.depth -= 1,
                b'\n' if self.depth == 0 => self.lines = true,
                b'"' if self.depth > 0 => self.text = true,
                _ if byte.is_ascii_whitespace() || self.depth > 0 => {}
                _ => return Err(Faulty),
            }
        }
        self.forget();
        match self.body.len() > LONGEST {
            true => Err(Faulty),
            false => Ok(None),
        }
    }

    /// The bytes of a place.
    pub fn at(&self, endpoint: Range<usize>) -> &[u8] {
        self.body.get(endpoint).unwrap_or_default()
    }

    /// Whether a line ended between objects since this was last asked: the stream is up.
    pub fn line(&mut self) -> bool {
        std::mem::take(&mut self.lines)
    }

    /// Whether the stream goes on. Guards against one that broke within an object: blanks alone are no sign of life then.
    pub fn alive(&mut self) -> bool {
        std::mem::take(&mut self.moved) || self.depth == 0
    }

    /// Forgets what was looked at and belongs to no object that is half there.
    fn forget(&mut self) {
        let used = if self.depth > 0 { self.begun } else { self.seen };
        self.body.drain(..used);
        self.seen -= used;
        self.begun = 0;
    }
}
