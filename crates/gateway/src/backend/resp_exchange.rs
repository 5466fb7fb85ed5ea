//! An exchange with a RESP2 backend: the command and its reply.
use crate::backend::exchange::Exchanged;
use crate::backend::reply_timeout::{ReplyProgress, ReplyTimeout};
use crate::backend::resp_encoding::{decode_reply, encode_command, ReplyOutcome};
use crate::backend::value::{self, AttemptEnd, Value};
use crate::context::Context;
use crate::counts::Weight;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::{future, StreamExt};
use scheduler::interface::AttemptOutcome;
use std::rc::Rc;

/// Sends the command and reads its reply. Also returns whether the connection can be reused; its close reason is set.
///
/// Dropping the future leaves the connection in the middle of the exchange: it has to be closed.
pub async fn exchange(
    context: &Rc<Context>,
    attempt: &Attempt,
    stream: &mut Connection,
) -> (Exchanged, bool) {
    stream.output.push(&encode_command(context, attempt));
    let mut timeout = ReplyTimeout::new(context, attempt);
    let mut weight = Weight::new(&context.gauges, |gauges| &gauges.arriving_bytes);
    loop {
        let progress = ReplyProgress::of_resp(stream.input.first_slice());
        let ends_at = context.clock.instant(timeout.at(progress));
        let timed_out = async {
            Timer::at(ends_at).await;
            None
        };
        let event = future::or(async { stream.next().await }, timed_out).await;
        weight.set(stream.input.allocated());
        if matches!(event, Some(Ok(SocketEvent::Read))) {
            timeout.record_arrival(context.clock.now());
        }
        if let Some(begun) = begin_stream(context, attempt, stream) {
            return (begun, false);
        }
        let outcome = match event {
            Some(Ok(SocketEvent::Wrote)) => {
                context.counters.count_sent_attempt();
                continue;
            }
            Some(Ok(SocketEvent::Read)) => match read_reply(context, attempt, stream) {
                Some((end, is_reusable)) => return (Exchanged::Ended(end), is_reusable),
                None => continue,
            },
            Some(Ok(SocketEvent::End)) | Some(Err(_)) => {
                stream.reason = CloseReason::Reset;
                AttemptOutcome::Reset
            }
            None if progress != ReplyProgress::None => {
                stream.reason = CloseReason::Protocol;
                AttemptOutcome::Error
            }
            None => {
                stream.reason = CloseReason::Timeout;
                AttemptOutcome::Timeout
            }
        };
        let outcome = if is_sent(stream) { outcome } else { AttemptOutcome::ConnectFailed };
        return (Exchanged::Ended(attempt.ended(outcome)), false);
    }
}

/// Whether the command's last byte was written; before that the backend can't have executed it.
fn is_sent(stream: &Connection) -> bool {
    stream.output.is_empty()
}

/// Consumes the head of a long value that can be streamed to its client, where one has arrived.
fn begin_stream(context: &Context, attempt: &Attempt, stream: &mut Connection) -> Option<Exchanged> {
    let head = resp::long_value_head(stream.input.contiguous(), resp::MAX_VALUE_BYTES)?;
    let is_streamable = attempt.request.accepts_stream && head.value_bytes <= value::MAX_STREAMED_BYTES;
    if !is_streamable || !is_sent(stream) || context.is_arriving_full() {
        return None;
    }
    stream.input.consume(head.length);
    Some(Exchanged::StreamBegun { parts: head.elements - 1, length: head.value_bytes })
}

/// The attempt's end by the reply in the input buffer, and whether the connection can be reused; `None` while the reply is incomplete.
fn read_reply(context: &Context, attempt: &Attempt, stream: &mut Connection) -> Option<(AttemptEnd, bool)> {
    let is_sent = is_sent(stream);
    // Long values are accepted only while the memory for arriving values is not exhausted.
    let has_room = stream.input.remaining() > 0
        && (stream.input.allocated() <= resp::MAX_VALUE_BYTES || !context.is_arriving_full());
    let (reply, used) = match resp::reply(stream.input.contiguous(), context.max_value_bytes()) {
        Ok(None) if has_room => return None,
        Ok(Some(reply)) => reply,
        _ => {
            stream.reason = CloseReason::Protocol;
            // Presumably the command was executed, and the backend is healthy.
            let outcome = if is_sent { AttemptOutcome::Error } else { AttemptOutcome::ConnectFailed };
            return Some((attempt.ended(outcome), false));
        }
    };
    let ReplyOutcome { outcome, remote_units, value } = match decode_reply(&reply) {
        Some(decoded) if is_sent || decoded.outcome == AttemptOutcome::Rejected => decoded,
        // The command was not sent completely: the reply can't belong to it.
        _ if !is_sent => ReplyOutcome::without_value(AttemptOutcome::ConnectFailed, 0.0),
        _ => {
            stream.reason = CloseReason::Protocol;
            return Some((attempt.ended(AttemptOutcome::Error), false));
        }
    };
    stream.input.consume(used);
    let is_clean = is_sent && stream.input.is_empty();
    if !is_clean {
        stream.reason = CloseReason::Protocol;
    }
    let value = value.map(Value::Complete);
    Some((AttemptEnd { remote_units, value, ..attempt.ended(outcome) }, is_clean))
}
