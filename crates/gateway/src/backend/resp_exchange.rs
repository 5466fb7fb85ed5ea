//! Attempts at a disk box that speaks RESP2: the command, its reply, and long values that are passed on while they come.
use crate::backend::resp_encoding::{command, elsewhere, outcome};
use crate::backend::value::{self, Ended, Value, ValueWriter};
use crate::context::Context;
use crate::counts::Weight;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::{future, StreamExt};
use scheduler::interface::AttemptOutcome;
use std::rc::Rc;
use std::time::Duration;

/// How long a reply that has begun may stand still.
const STANDSTILL: Duration = Duration::from_millis(100);
/// How long a value that is being passed on may stand still. Its client has begun to get it: nobody else can be asked, and
/// cutting off what still comes would lose the request.
const PAUSE: Duration = Duration::from_secs(10);
/// Of a value that is passed on so much is held back until its end has come.
const HELD_BACK: usize = 1024;

/// What has become of a command that was written.
pub enum Exchanged {
    /// The attempt has ended.
    Ended(Ended),
    /// A long value has begun, the first part of an array; its head is used up.
    Begun {
        /// The parts that follow after it.
        parts: usize,
        /// Its length.
        length: usize,
    },
}

/// Passes a long value on while it comes; tells whether the connection may be used again.
pub async fn pass_on(
    context: &Rc<Context>,
    scheduler: &SchedulerMailbox,
    attempt: &Attempt,
    stream: &mut Connection,
    mut passing: ValueWriter,
    parts: usize,
) -> bool {
    let mut weight = Weight::new(&context.gauges, |g| &g.arriving);
    weight.set(3 * value::PIECE);
    loop {
        // All but the end goes as it comes.
        while passing.left > HELD_BACK && !stream.input.is_empty() {
            let bytes = stream.input.first_slice();
            let count = bytes.len().min(passing.left - HELD_BACK).min(value::PIECE);
            let went = passing.put(&bytes[..count]).await;
            stream.input.consume(count);
            if !went {
                // Its client has gone, and this box goes on sending.
                stream.reason = CloseReason::Bound;
                return false;
            }
        }
        if passing.left <= HELD_BACK {
            let bytes = stream.input.contiguous();
            match bytes.get(passing.left..passing.left + 2) {
                Some(b"\r\n") => break,
                // Guards the client: it does not get the end of a value that has another length than was said.
                Some(_) => {
                    stream.reason = CloseReason::Protocol;
                    return false;
                }
                None => {}
            }
        }
        stream.input.reserve(value::PIECE);
        if !more(stream, PAUSE).await {
            return false;
        }
    }
    let end = passing.left;
    let went = passing.put(&stream.input.contiguous()[..end]).await;
    stream.input.consume(end + 2);
    drop(passing);
    loop {
        let room = stream.input.remaining() > 0;
        match resp::parts(stream.input.contiguous(), parts, resp::LONGEST) {
            Ok(Some((told, used))) => {
                if let Some(resp::Reply::Bulk(Some(figures))) = told.first() {
                    let (volume, units) = (attempt.request.volume.clone(), elsewhere(figures));
                    let _ = scheduler.send(SchedulerMessage::Told(volume, units)).await;
                }
                stream.input.consume(used);
                stream.reason =
                    if stream.input.is_empty() { CloseReason::PeerClosed } else { CloseReason::Protocol };
                return went && stream.input.is_empty();
            }
            Ok(None) if room => {
                if !more(stream, STANDSTILL).await {
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

/// Waits until more has come; false, and the reason set, where nothing comes any more.
async fn more(stream: &mut Connection, timeout: Duration) -> bool {
    let late = async {
        Timer::after(timeout).await;
        None
    };
    let moved = future::or(async { stream.next().await }, late).await;
    stream.reason = match moved {
        Some(Ok(SocketEvent::Read | SocketEvent::Wrote)) => return true,
        Some(Ok(SocketEvent::End)) | Some(Err(_)) => CloseReason::Reset,
        None => CloseReason::Protocol,
    };
    false
}

/// Writes the command and reads its reply; also tells whether the connection may be used again.
pub async fn exchange(
    context: &Rc<Context>,
    attempt: &Attempt,
    stream: &mut Connection,
) -> (Exchanged, bool) {
    let ended = |ended: Ended, keep: bool| (Exchanged::Ended(ended), keep);
    stream.output.push(&command(context, attempt));
    let until = context.clock.instant(attempt.deadline);
    let mut late = Timer::at(until);
    let mut weight = Weight::new(&context.gauges, |g| &g.arriving);
    loop {
        // Guards the time that is left for another attempt: a reply comes in one go, and one that stands still
        // half-way is spoilt.
        let begun = !stream.input.is_empty();
        if begun {
            late = Timer::at(until.min(std::time::Instant::now() + STANDSTILL));
        }
        let moved = future::or(async { stream.next().await }, async {
            (&mut late).await;
            None
        });
        let moved = moved.await;
        // Guards bookings: only before the last byte was written is it sure that nothing runs.
        let unsent = !stream.output.is_empty();
        weight.set(stream.input.allocated());
        // Guards memory: long values come only while there is room for all that are coming.
        let room = stream.input.remaining() > 0
            && (stream.input.allocated() <= resp::LONGEST || !context.arriving_full());
        // A long value goes on to its client while it comes, where that can take it so.
        let head = resp::long_head(stream.input.contiguous(), resp::LONGEST);
        let passed = |(_, length, _): &(usize, usize, usize)| {
            attempt.request.accepts_stream && !unsent && *length <= value::LONGEST && !context.arriving_full()
        };
        if let Some((parts, length, used)) = head.filter(passed) {
            stream.input.consume(used);
            return (Exchanged::Begun { parts: parts - 1, length }, false);
        }
        let ending = match moved {
            Some(Ok(SocketEvent::Wrote)) => {
                context.counters.relayed();
                continue;
            }
            Some(Ok(SocketEvent::Read)) => {
                match resp::reply(stream.input.contiguous(), context.longest_value()) {
                    Ok(None) if room => continue,
                    Ok(Some((reply, used))) => {
                        let (ending, elsewhere, value) = match outcome(&reply) {
                            Some(said) if !unsent || said.0 == AttemptOutcome::Rejected => said,
                            // Whatever it answers, it is not this command.
                            _ if unsent => (AttemptOutcome::ConnectFailed, 0.0, None),
                            _ => {
                                stream.reason = CloseReason::Protocol;
                                return ended(attempt.ended(AttemptOutcome::Error), false);
                            }
                        };
                        stream.input.consume(used);
                        let clean = !unsent && stream.input.is_empty();
                        if !clean {
                            stream.reason = CloseReason::Protocol;
                        }
                        let value = value.map(Value::Complete);
                        return ended(
                            Ended { remote_units: elsewhere, value, ..attempt.ended(ending) },
                            clean,
                        );
                    }
                    _ => {
                        stream.reason = CloseReason::Protocol;
                        // It has run, as far as can be told, and its box is well.
                        return ended(
                            attempt.ended(if unsent {
                                AttemptOutcome::ConnectFailed
                            } else {
                                AttemptOutcome::Error
                            }),
                            false,
                        );
                    }
                }
            }
            Some(Ok(SocketEvent::End)) | Some(Err(_)) => {
                stream.reason = CloseReason::Reset;
                AttemptOutcome::Reset
            }
            None if begun => {
                stream.reason = CloseReason::Protocol;
                AttemptOutcome::Error
            }
            None => {
                stream.reason = CloseReason::Timeout;
                AttemptOutcome::Timeout
            }
        };
        return ended(attempt.ended(if unsent { AttemptOutcome::ConnectFailed } else { ending }), false);
    }
}
