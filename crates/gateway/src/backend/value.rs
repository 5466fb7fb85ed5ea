//! What a disk box gave: a value that is whole, or a long one that is passed on while it comes. Of a long one the end is
//! held back until the box has ended it as it should: a client that has it all can rely on it, and one that has not can
//! tell.
use crate::counts::{Count, Gauges};
use async_channel::{Receiver, Sender};
use dispatch::Bytes;
use std::rc::Rc;

/// The end of a task of the core, with a value of this program.
pub type Ended = dispatch::AttemptEnd<Value>;
/// A final answer, with a value of this program.
pub type Answer = dispatch::Response<Value>;

/// Bytes of one piece, at the most.
pub const PIECE: usize = 16 * 1024;
/// The longest value that is passed on; what claims to be longer is spoilt.
pub const LONGEST: usize = 8 * 1024 * 1024;

/// A value.
#[derive(Clone, Debug)]
pub enum Value {
    /// It is here.
    Complete(Bytes),
    /// It is coming.
    Streamed(StreamedValue),
}

impl Default for Value {
    fn default() -> Self {
        Value::Complete(Bytes::from([]))
    }
}

impl Value {
    /// The bytes that are here: all, where it is whole.
    pub fn whole(&self) -> &[u8] {
        match self {
            Value::Complete(bytes) => bytes,
            Value::Streamed(_) => &[],
        }
    }
}

/// A value that is coming. Its pieces end early where it can't be finished.
#[derive(Clone, Debug)]
pub struct StreamedValue {
    /// Its length.
    pub length: usize,
    /// Its pieces.
    pub pieces: Receiver<Bytes>,
}

/// The other end: where the pieces are put. One waits at a time, so that a client that is slow makes the box wait.
pub struct ValueWriter {
    pieces: Sender<Bytes>,
    /// How many bytes are still to be put.
    pub left: usize,
    _count: Count,
}

impl ValueWriter {
    /// A value of that length.
    pub fn begin(gauges: &Rc<Gauges>, length: usize) -> (ValueWriter, Value) {
        let (to, pieces) = async_channel::bounded(1);
        let passing = ValueWriter { pieces: to, left: length, _count: Count::up(gauges, |g| &g.passing) };
        (passing, Value::Streamed(StreamedValue { length, pieces }))
    }

    /// Puts a piece, once the client has room; false where it has gone.
    pub async fn put(&mut self, bytes: &[u8]) -> bool {
        self.left -= bytes.len();
        self.pieces.send(Bytes::from(bytes)).await.is_ok()
    }
}
