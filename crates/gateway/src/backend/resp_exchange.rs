//! Attempts at a disk box that speaks RESP2: the command, its reply, and long values that are passed on while they come.
use crate::backend::resp_encoding::{command, elsewhere, outcome};
use crate::backend::value::{self, Ended, Passing, Value};
use crate::context::Context;
use crate::counts::Weight;
use crate::messages::{Mail, Module};
use crate::net::close_reason::Reason;
use crate::net::connection::{SocketEvent, Wire};
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
    module: &Module,
    attempt: &Attempt,
    wire: &mut Wire,
    mut passing: Passing,
    parts: usize,
) -> bool {
    let mut weight = Weight::new(&context.gauges, |g| &g.arriving);
    weight.set(3 * value::PIECE);
    loop {
        // All but the end goes as it comes.
        while passing.left > HELD_BACK && !wire.input.is_empty() {
            let bytes = wire.input.front();
            let count = bytes.len().min(passing.left - HELD_BACK).min(value::PIECE);
            let went = passing.put(&bytes[..count]).await;
            wire.input.consume(count);
            if !went {
                // Its client has gone, and this box goes on sending.
                wire.reason = Reason::Bound;
                return false;
            }
        }
        if passing.left <= HELD_BACK {
            let bytes = wire.input.contiguous();
            match bytes.get(passing.left..passing.left + 2) {
                Some(b"\r\n") => break,
                // Guards the client: it does not get the end of a value that has another length than was said.
                Some(_) => {
                    wire.reason = Reason::Protocol;
                    return false;
                }
                None => {}
            }
        }
        wire.input.widen(value::PIECE);
        if !more(wire, PAUSE).await {
            return false;
        }
    }
    let end = passing.left;
    let went = passing.put(&wire.input.contiguous()[..end]).await;
    wire.input.consume(end + 2);
    drop(passing);
    loop {
        let room = wire.input.room() > 0;
        match resp::parts(wire.input.contiguous(), parts, resp::LONGEST) {
            Ok(Some((told, used))) => {
                if let Some(resp::Reply::Bulk(Some(figures))) = told.first() {
                    let (volume, units) = (attempt.request.volume.clone(), elsewhere(figures));
                    let _ = module.send(Mail::Told(volume, units)).await;
                }
                wire.input.consume(used);
                wire.reason = if wire.input.is_empty() { Reason::PeerClosed } else { Reason::Protocol };
                return went && wire.input.is_empty();
            }
            Ok(None) if room => {
                if !more(wire, STANDSTILL).await {
                    return false;
                }
            }
            _ => {
                wire.reason = Reason::Protocol;
                return false;
            }
        }
    }
}

/// Waits until more has come; false, and the reason set, where nothing comes any more.
async fn more(wire: &mut Wire, patience: Duration) -> bool {
    let late = async {
        Timer::after(patience).await;
        None
    };
    let moved = future::or(async { wire.next().await }, late).await;
    wire.reason = match moved {
        Some(Ok(SocketEvent::Read | SocketEvent::Wrote)) => return true,
        Some(Ok(SocketEvent::End)) | Some(Err(_)) => Reason::Reset,
        None => Reason::Protocol,
    };
    false
}

/// Writes the command and reads its reply; also tells whether the connection may be used again.
pub async fn exchange(context: &Rc<Context>, attempt: &Attempt, wire: &mut Wire) -> (Exchanged, bool) {
    let ended = |ended: Ended, keep: bool| (Exchanged::Ended(ended), keep);
    wire.output.push(&command(context, attempt));
    let until = context.clock.instant(attempt.deadline);
    let mut late = Timer::at(until);
    let mut weight = Weight::new(&context.gauges, |g| &g.arriving);
    loop {
        // Guards the time that is left for another attempt: a reply comes in one go, and one that stands still
        // half-way is spoilt.
        let begun = !wire.input.is_empty();
        if begun {
            late = Timer::at(until.min(std::time::Instant::now() + STANDSTILL));
        }
        let moved = future::or(async { wire.next().await }, async {
            (&mut late).await;
            None
        });
        let moved = moved.await;
        // Guards bookings: only before the last byte was written is it sure that nothing runs.
        let unsent = !wire.output.is_empty();
        weight.set(wire.input.memory());
        // Guards memory: long values come only while there is room for all that are coming.
        let room =
            wire.input.room() > 0 && (wire.input.memory() <= resp::LONGEST || !context.arriving_full());
        // A long value goes on to its client while it comes, where that can take it so.
        let head = resp::long_head(wire.input.contiguous(), resp::LONGEST);
        let passed = |(_, length, _): &(usize, usize, usize)| {
            attempt.request.accepts_stream && !unsent && *length <= value::LONGEST && !context.arriving_full()
        };
        if let Some((parts, length, used)) = head.filter(passed) {
            wire.input.consume(used);
            return (Exchanged::Begun { parts: parts - 1, length }, false);
        }
        let ending = match moved {
            Some(Ok(SocketEvent::Wrote)) => {
                context.tallies.relayed();
                continue;
            }
            Some(Ok(SocketEvent::Read)) => {
                match resp::reply(wire.input.contiguous(), context.longest_value()) {
                    Ok(None) if room => continue,
                    Ok(Some((reply, used))) => {
                        let (ending, elsewhere, value) = match outcome(&reply) {
                            Some(said) if !unsent || said.0 == AttemptOutcome::Rejected => said,
                            // Whatever it answers, it is not this command.
                            _ if unsent => (AttemptOutcome::ConnectFailed, 0.0, None),
                            _ => {
                                wire.reason = Reason::Protocol;
                                return ended(attempt.ended(AttemptOutcome::Error), false);
                            }
                        };
                        wire.input.consume(used);
                        let clean = !unsent && wire.input.is_empty();
                        if !clean {
                            wire.reason = Reason::Protocol;
                        }
                        let value = value.map(Value::Whole);
                        return ended(
                            Ended { remote_units: elsewhere, value, ..attempt.ended(ending) },
                            clean,
                        );
                    }
                    _ => {
                        wire.reason = Reason::Protocol;
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
                wire.reason = Reason::Reset;
                AttemptOutcome::Reset
            }
            None if begun => {
                wire.reason = Reason::Protocol;
                AttemptOutcome::Error
            }
            None => {
                wire.reason = Reason::Timeout;
                AttemptOutcome::Timeout
            }
        };
        return ended(attempt.ended(if unsent { AttemptOutcome::ConnectFailed } else { ending }), false);
    }
}
