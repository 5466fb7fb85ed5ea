//! One call to discovery: it is up once the first object or empty line has come, and a watch from then on.
use crate::discovery::json_stream::Objects;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use futures_lite::StreamExt;
use http::{Chunks, Length};
use std::net::SocketAddr;
use std::ops::Range;

const BOUNDS: (usize, usize) = (64 * 1024, 4096);

/// A watch that is up.
pub struct Watch {
    /// Its connection.
    pub stream: Connection,
    /// What has come on it.
    pub objects: Objects,
    /// The first object, where it began with one.
    pub first: Option<Range<usize>>,
    /// Whether its answer has ended as it should.
    pub done: bool,
    length: Option<Length>,
    chunks: Chunks,
}

/// What is not a stream of objects is a fault of its own.
pub fn fault(e: &dyn std::fmt::Display) -> CloseReason {
    crate::log::line(format_args!("list error={e}"));
    CloseReason::Protocol
}

impl Watch {
    /// Asks for all changes after a version, until the first of them is here.
    pub async fn call(discovery: SocketAddr, version: i64) -> Result<Box<Watch>, CloseReason> {
        let Ok(mut stream) = Connection::connect("discovery", discovery, BOUNDS).await else {
            let reason = CloseReason::ConnectFailed;
            crate::log::line(format_args!("conn kind=discovery peer={discovery} carried=0 reason={reason}"));
            return Err(reason);
        };
        let ask = format!(
            "GET /api/targets?watch=1&from={version} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n"
        );
        stream.output.push(ask.as_bytes());
        // Where it is dropped while it waits, another was called beside it.
        stream.reason = CloseReason::Replaced;
        let (objects, chunks) = (Objects::default(), Chunks::default());
        let mut watch = Box::new(Watch { stream, objects, first: None, done: false, length: None, chunks });
        loop {
            let up = match watch.more().await {
                Ok(()) => watch.begun(),
                Err(reason) => Err(reason),
            };
            match up {
                Ok(true) => return Ok(watch),
                Ok(false) => {}
                Err(reason) => {
                    watch.stream.reason = reason;
                    return Err(reason);
                }
            }
        }
    }

    fn begun(&mut self) -> Result<bool, CloseReason> {
        self.first = self.objects.next().map_err(|_| fault(&"not a stream of objects"))?;
        match self.first.is_some() || self.objects.line() {
            // It has ended, and said nothing.
            false if self.done => Err(CloseReason::Done),
            up => Ok(up),
        }
    }

    /// Waits until more has come, and takes it in.
    pub async fn more(&mut self) -> Result<(), CloseReason> {
        match self.stream.next().await {
            Some(Ok(SocketEvent::Wrote)) => return Ok(()),
            Some(Ok(SocketEvent::Read)) => {}
            Some(Ok(SocketEvent::End)) => return Err(CloseReason::PeerClosed),
            Some(Err(_)) | None => return Err(CloseReason::Reset),
        }
        let input = &mut self.stream.input;
        if self.length.is_none() {
            match http::answer_head(input.contiguous()) {
                Ok(None) => return Ok(()),
                Ok(Some((200, form, used))) => {
                    input.consume(used);
                    self.length = Some(form);
                }
                Ok(Some(_)) => return Err(CloseReason::PeerClosed),
                Err(_) => return Err(CloseReason::Protocol),
            }
        }
        let bytes = input.contiguous();
        let used = match self.length {
            Some(Length::Chunked) => {
                self.chunks.read(bytes, self.objects.body()).map_err(|_| CloseReason::Protocol)?
            }
            _ => {
                self.objects.body().extend_from_slice(bytes);
                bytes.len()
            }
        };
        input.consume(used);
        self.done = self.chunks == Chunks::Done;
        Ok(())
    }
}
