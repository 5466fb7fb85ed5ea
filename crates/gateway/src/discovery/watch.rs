//! One call to discovery. It is established once the first object or empty line has arrived, and is a watch from then on.
use crate::discovery::json_stream::JsonStream;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use futures_lite::StreamExt;
use http::{BodyLength, ChunkDecoder, ResponseHead};
use std::net::SocketAddr;
use std::ops::Range;

/// Capacities of the input and output buffer, in bytes.
const BUFFER_BYTES: (usize, usize) = (64 * 1024, 4096);
/// The status of an answer that holds a list.
const STATUS_OK: u16 = 200;

/// An established watch.
pub struct Watch {
    /// Its connection.
    pub stream: Connection,
    /// The objects that have arrived on it.
    pub objects: JsonStream,
    /// The first object, where the watch began with one.
    pub first_object: Option<Range<usize>>,
    /// Whether its answer has ended regularly.
    pub is_done: bool,
    length: Option<BodyLength>,
    chunks: ChunkDecoder,
}

/// Logs why a message of discovery is not valid.
pub fn protocol_error(error: &dyn std::fmt::Display) -> CloseReason {
    crate::log::line(format_args!("discovery error={error}"));
    CloseReason::Protocol
}

impl Watch {
    /// Asks for all changes after a version, and waits until the watch is established. Dropping the future closes the connection.
    ///
    /// # Errors
    /// Why the connection was closed.
    pub async fn call(discovery: SocketAddr, version: i64) -> Result<Box<Watch>, CloseReason> {
        let Ok(mut stream) = Connection::connect("discovery", discovery, BUFFER_BYTES).await else {
            let reason = CloseReason::ConnectFailed;
            crate::log::line(format_args!("conn kind=discovery peer={discovery} carried=0 reason={reason}"));
            return Err(reason);
        };
        let request = format!(
            "GET /api/targets?watch=1&from={version} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n"
        );
        stream.output.push(request.as_bytes());
        // The reason where this future is dropped: another call has taken its place.
        stream.reason = CloseReason::Replaced;
        let (objects, chunks) = (JsonStream::default(), ChunkDecoder::default());
        let mut watch =
            Box::new(Watch { stream, objects, first_object: None, is_done: false, length: None, chunks });
        loop {
            let established = match watch.receive().await {
                Ok(()) => watch.is_established(),
                Err(reason) => Err(reason),
            };
            match established {
                Ok(true) => return Ok(watch),
                Ok(false) => {}
                Err(reason) => {
                    watch.stream.reason = reason;
                    return Err(reason);
                }
            }
        }
    }

    fn is_established(&mut self) -> Result<bool, CloseReason> {
        self.first_object = self.objects.next_object().map_err(|error| protocol_error(&error))?;
        let is_established = self.first_object.is_some() || self.objects.take_line_end();
        if !is_established && self.is_done {
            // The answer has ended, and was empty.
            return Err(CloseReason::Done);
        }
        Ok(is_established)
    }

    /// Waits until more has arrived, and appends it to `objects`.
    ///
    /// # Errors
    /// Why the connection is to be closed.
    pub async fn receive(&mut self) -> Result<(), CloseReason> {
        match self.stream.next().await {
            Some(Ok(SocketEvent::Wrote)) => return Ok(()),
            Some(Ok(SocketEvent::Read)) => {}
            Some(Ok(SocketEvent::End)) => return Err(CloseReason::PeerClosed),
            Some(Err(_)) | None => return Err(CloseReason::Reset),
        }
        let input = &mut self.stream.input;
        if self.length.is_none() {
            match http::response_head(input.contiguous()) {
                Ok(None) => return Ok(()),
                Ok(Some(ResponseHead { status: STATUS_OK, body: length, length: used })) => {
                    input.consume(used);
                    self.length = Some(length);
                }
                Ok(Some(_)) => return Err(CloseReason::PeerClosed),
                // The log line of the connection has the reason.
                Err(_) => return Err(CloseReason::Protocol),
            }
        }
        let bytes = input.contiguous();
        let used = if self.length == Some(BodyLength::Chunked) {
            let read = self.chunks.read(bytes, self.objects.buffer());
            read.or(Err(CloseReason::Protocol))?
        } else {
            self.objects.buffer().extend_from_slice(bytes);
            bytes.len()
        };
        input.consume(used);
        self.is_done = self.chunks == ChunkDecoder::Done;
        Ok(())
    }
}
