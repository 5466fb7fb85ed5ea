//! Values from backends: complete ones, and long ones that are streamed while they arrive. The end of a streamed value is withheld until
//! the backend has completed it, so that a client that received all of it can rely on it, and any other client can detect the failure.
use crate::counts::{Count, Gauges};
use async_channel::{Receiver, Sender};
use dispatch::Bytes;
use std::rc::Rc;

/// The end of an attempt, with a value of this program.
pub type AttemptEnd = dispatch::AttemptEnd<Value>;
/// A final answer to a client, with a value of this program.
pub type Answer = dispatch::Response<Value>;

/// The maximum size of a piece, in bytes.
pub const PIECE_BYTES: usize = 16 * 1024;
/// The longest value that is streamed, in bytes; a reply that announces more violates the protocol.
pub const MAX_STREAMED_BYTES: usize = 8 * 1024 * 1024;

/// A value.
#[derive(Clone, Debug)]
pub enum Value {
    /// A value that has arrived.
    Complete(Bytes),
    /// A value that is arriving.
    Streamed(StreamedValue),
}

impl Default for Value {
    fn default() -> Self {
        Value::Complete(Bytes::from([]))
    }
}

impl Value {
    /// The bytes of a complete value; empty for a streamed one.
    pub fn complete_bytes(&self) -> &[u8] {
        match self {
            Value::Complete(bytes) => bytes,
            Value::Streamed(_) => &[],
        }
    }
}

/// A value that is arriving. Its pieces end early where it can't be completed.
#[derive(Clone, Debug)]
pub struct StreamedValue {
    /// The bytes that are still to come.
    pub length: usize,
    /// Receives the pieces.
    pub pieces: Receiver<Bytes>,
}

/// The sending side of a streamed value. One piece waits at a time, so that a slow client slows the backend down.
pub struct ValueWriter {
    pieces: Sender<Bytes>,
    /// The bytes that are still to be sent.
    pub remaining: usize,
    _count: Count,
}

impl ValueWriter {
    /// A value of `length` bytes, and the writer for it.
    pub fn new(gauges: &Rc<Gauges>, length: usize) -> (ValueWriter, Value) {
        let (sender, pieces) = async_channel::bounded(1);
        let count = Count::new(gauges, |gauges| &gauges.streamed_values);
        let writer = ValueWriter { pieces: sender, remaining: length, _count: count };
        (writer, Value::Streamed(StreamedValue { length, pieces }))
    }

    /// Sends a piece once the client has taken the one before. Returns false where the client has disconnected. Dropping the future drops the
    /// piece: the value can't be completed then.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.remaining -= bytes.len();
        self.pieces.send(Bytes::from(bytes)).await.is_ok()
    }
}
