//! Encoding responses to RESP2 clients, and accounting for the memory of unsent ones.
use crate::backend::value::{Answer, StreamedValue, Value};
use crate::context::Context;
use crate::counts::Gauges;
use dispatch::Bytes;
use scheduler::interface::{Micros, RequestId};
use std::rc::Rc;

/// An encoded response.
pub enum EncodedResponse {
    /// The header of a bulk string, and its value, which is still arriving.
    Streamed(Vec<u8>, StreamedValue),
    /// A complete response.
    Bytes(Vec<u8>),
    /// The header of a bulk string, and its complete value.
    Value(Vec<u8>, Bytes),
    /// Consecutive pieces, and the memory reservations that are held until these are written.
    Pieces(Vec<Bytes>, Vec<scatter_gather::Reservation>),
}

/// Responses up to this size are sent even beyond the limit for unsent responses.
const SMALL_RESPONSE_BYTES: usize = 1024;

/// A response that is waiting to be sent; its bytes count against the memory limit for unsent responses until it is dropped.
pub struct PendingResponse {
    /// The encoded response.
    pub response: EncodedResponse,
    /// Bytes of its current part that have been copied to the connection's output.
    pub copied: usize,
    /// Whether the terminator of a streamed value has been encoded.
    pub is_end_encoded: bool,
    weight: usize,
    gauges: Rc<Gauges>,
}

/// The place of one command in the order of responses.
pub struct Slot {
    /// The id of its request, if the command is one.
    pub id: Option<RequestId>,
    /// Whether its response is gathered from shards.
    pub is_gathered: bool,
    /// Its response, once it is available.
    pub response: Option<PendingResponse>,
}

/// When bytes of a response were last written to the connection.
pub struct Progress {
    /// Bytes written to the socket by then.
    pub bytes_written: u64,
    /// The time.
    pub at: Micros,
}

impl PendingResponse {
    /// Counts a response against the memory limit; a response beyond the limit is replaced by an error.
    pub fn new(context: &Rc<Context>, response: EncodedResponse) -> PendingResponse {
        let weight = match &response {
            EncodedResponse::Bytes(bytes) => bytes.len(),
            // A streamed value is counted by its receiver.
            EncodedResponse::Streamed(..) => 0,
            EncodedResponse::Value(_, value) => value.len(),
            EncodedResponse::Pieces(..) => 0,
        };
        // Clients that send requests without reading the responses would exhaust the memory. The request was executed, so the client
        // gets a failure rather than a rejection, which would say that it was not.
        let unsent = context.gauges.unsent_bytes.get() + weight;
        if weight > SMALL_RESPONSE_BYTES && unsent > context.unsent_limit() {
            return PendingResponse::new(
                context,
                EncodedResponse::Bytes(b"-ERR too many answers wait for clients\r\n".to_vec()),
            );
        }
        context.gauges.unsent_bytes.set(unsent);
        PendingResponse { response, copied: 0, is_end_encoded: false, weight, gauges: context.gauges.clone() }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.gauges.unsent_bytes.set(self.gauges.unsent_bytes.get() - self.weight);
    }
}

impl EncodedResponse {
    /// Creates a complete response.
    pub fn bytes(text: impl Into<Vec<u8>>) -> EncodedResponse {
        EncodedResponse::Bytes(text.into())
    }

    /// Returns contiguous bytes from offset `at` on; empty at the end.
    pub fn remaining(&self, at: usize) -> &[u8] {
        match self {
            EncodedResponse::Bytes(bytes) | EncodedResponse::Streamed(bytes, _) => &bytes[at..],
            EncodedResponse::Value(head, value) => match at.checked_sub(head.len()) {
                None => &head[at..],
                Some(at) if at < value.len() => &value[at..],
                Some(at) => &b"\r\n"[at - value.len()..],
            },
            EncodedResponse::Pieces(pieces, _) => {
                let mut left = at;
                for piece in pieces {
                    match left.checked_sub(piece.len()) {
                        None => return &piece[left..],
                        Some(rest) => left = rest,
                    }
                }
                &[]
            }
        }
    }
}

/// Encodes a final answer.
pub fn encode(answer: Answer) -> EncodedResponse {
    match answer {
        Answer::Served(Value::Streamed(value)) => {
            EncodedResponse::Streamed(format!("${}\r\n", value.length).into_bytes(), value)
        }
        Answer::Served(Value::Complete(value)) => {
            EncodedResponse::Value(format!("${}\r\n", value.len()).into_bytes(), value)
        }
        // Rounded up to milliseconds: a client that retries earlier would be rejected again.
        Answer::Rejected(Some(wait)) => {
            EncodedResponse::bytes(format!("-BUSY {}\r\n", (wait.0.max(0) + 999) / 1000))
        }
        Answer::Rejected(None) => EncodedResponse::bytes("-BUSY\r\n"),
        Answer::Failed(reason) => EncodedResponse::bytes(format!("-ERR {reason}\r\n")),
    }
}
