//! Streaming a long value from a RESP2 backend to its client while it arrives.
use crate::backend::resp_encoding::remote_units;
use crate::backend::value::{ValueWriter, PIECE_BYTES};
use crate::context::Context;
use crate::counts::Weight;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::{future, StreamExt};
use std::rc::Rc;
use std::time::Duration;

/// How long a streamed value may stall. Its client has received a part of it, so the request can't be retried at another backend, and
/// closing the connection would lose it.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the parts that follow the value may stall: only the connection's reuse depends on them.
const TRAILER_STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// The size of the end of a value that is withheld until the backend has completed the value.
const WITHHELD_BYTES: usize = 1024;
/// The line ending after a bulk string.
const LINE_END: &[u8] = b"\r\n";

/// Streams a value, then reads the `parts` that follow it. Returns whether the connection can be reused; its close reason is set.
pub async fn stream(
    context: &Rc<Context>,
    scheduler: &SchedulerMailbox,
    attempt: &Attempt,
    stream: &mut Connection,
    mut writer: ValueWriter,
    parts: usize,
) -> bool {
    let mut weight = Weight::new(&context.gauges, |gauges| &gauges.arriving_bytes);
    weight.set(3 * PIECE_BYTES);
    if !forward_all_but_end(stream, &mut writer).await {
        return false;
    }
    let end = writer.remaining;
    let is_delivered = writer.send(&stream.input.contiguous()[..end]).await;
    stream.input.consume(end + LINE_END.len());
    drop(writer);
    read_trailer(scheduler, attempt, stream, parts).await && is_delivered
}

/// Forwards the value as it arrives, up to the withheld end, and waits until that is complete in the input buffer. Returns false
/// where the value can't be completed or its client has disconnected.
async fn forward_all_but_end(stream: &mut Connection, writer: &mut ValueWriter) -> bool {
    loop {
        while writer.remaining > WITHHELD_BYTES && !stream.input.is_empty() {
            let bytes = stream.input.first_slice();
            let count = bytes.len().min(writer.remaining - WITHHELD_BYTES).min(PIECE_BYTES);
            let is_delivered = writer.send(&bytes[..count]).await;
            stream.input.consume(count);
            if !is_delivered {
                // The client has disconnected while the backend is still sending.
                stream.reason = CloseReason::Bound;
                return false;
            }
        }
        if writer.remaining <= WITHHELD_BYTES {
            let bytes = stream.input.contiguous();
            match bytes.get(writer.remaining..writer.remaining + LINE_END.len()) {
                Some(LINE_END) => return true,
                // The value's length differs from the announced one: the client must not receive its end.
                Some(_) => {
                    stream.reason = CloseReason::Protocol;
                    return false;
                }
                None => {}
            }
        }
        stream.input.reserve(PIECE_BYTES);
        if !wait_for_more(stream, VALUE_STALL_TIMEOUT).await {
            return false;
        }
    }
}

/// Reads the parts that follow the value, and reports the usage figures among them. Returns whether the reply ended correctly.
async fn read_trailer(
    scheduler: &SchedulerMailbox,
    attempt: &Attempt,
    stream: &mut Connection,
    parts: usize,
) -> bool {
    loop {
        let has_room = stream.input.remaining() > 0;
        match resp::replies(stream.input.contiguous(), parts, resp::MAX_VALUE_BYTES) {
            Ok(Some((replies, used))) => {
                if let Some(resp::Reply::Bulk(Some(figures))) = replies.first() {
                    let (volume, units) = (attempt.request.volume.clone(), remote_units(figures));
                    // The mailbox is closed only at the end of the process.
                    drop(scheduler.send(SchedulerMessage::RemoteUnits(volume, units)).await);
                }
                stream.input.consume(used);
                let is_clean = stream.input.is_empty();
                stream.reason = if is_clean { CloseReason::PeerClosed } else { CloseReason::Protocol };
                return is_clean;
            }
            Ok(None) if has_room => {
                if !wait_for_more(stream, TRAILER_STALL_TIMEOUT).await {
                    return false;
                }
            }
            _ => {
                stream.reason = CloseReason::Protocol;
                return false;
            }
        }
    }
}

/// Waits for progress on the connection. Returns false, with the close reason set, where there is none in time.
async fn wait_for_more(stream: &mut Connection, timeout: Duration) -> bool {
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    let event = future::or(async { stream.next().await }, timed_out).await;
    stream.reason = match event {
        Some(Ok(SocketEvent::Read | SocketEvent::Wrote)) => return true,
        Some(Ok(SocketEvent::End)) | Some(Err(_)) => CloseReason::Reset,
        None => CloseReason::Protocol,
    };
    false
}
