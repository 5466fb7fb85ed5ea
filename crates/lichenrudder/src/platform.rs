//! The platform's front: RESP2 commands of clients, turned into requests of the core and back.
use crate::context::{Context, Count};
use crate::module::{Mail, Ticket};
use crate::wire::{accept, Moved, Reason, Wire};
use async_io::{Async, Timer};
use dispatch::{Answer, Bytes, Request};
use futures_lite::{future, StreamExt};
use oxbowhill::interface::{Micros, RequestId};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const BOUNDS: (usize, usize) = (resp::LONGEST + 4096, resp::LONGEST + 4096);
/// Commands of one connection that may be unanswered.
const PIPELINE: usize = 128;
/// A client's time began when it sent, and its answer has a way to go: so much of it is spent on that.
const ON_THE_WAY: i64 = 2_000;
/// A client that is quiet for so long is closed between requests where clients are many.
const QUIET: i64 = 60_000_000;
/// Connections beyond the bound that are answered with a refusal; more are not accepted for the time being.
const BEYOND: usize = 64;
/// After SIGTERM clients go on using what is open; idle connections are closed after this time.
const LINGER: i64 = 500_000;

/// Accepts clients until the program ends.
pub async fn listen(context: Rc<Context>, listener: Async<TcpListener>) {
    // Guards the descriptors of everything else.
    let may = || context.clients.get() < context.client_bound() + BEYOND;
    let take = |stream, address| context.executor.spawn(client(context.clone(), stream, address)).detach();
    accept(listener, may, take).await;
}

enum Reply {
    Bytes(Vec<u8>),
    Value(Bytes),
}

struct Slot {
    id: Option<RequestId>,
    reply: Option<Waiting>,
}

/// An answer that waits for its client; its bytes count against the bound while it does.
struct Waiting {
    reply: Reply,
    weight: usize,
    context: Rc<Context>,
}

impl Waiting {
    fn new(context: &Rc<Context>, reply: Reply) -> Waiting {
        let weight = match &reply {
            Reply::Bytes(bytes) => bytes.len(),
            Reply::Value(value) => value.len(),
        };
        // Guards the memory against clients that ask and do not read. It has run: failed, and not refused.
        let unsent = context.unsent.get() + weight;
        if weight > 1024 && unsent > context.unsent_bound() {
            return Waiting::new(
                context,
                Reply::Bytes(b"-ERR too many answers wait for clients\r\n".to_vec()),
            );
        }
        context.unsent.set(unsent);
        Waiting { reply, weight, context: context.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.context.unsent.set(self.context.unsent.get() - self.weight);
    }
}

impl Reply {
    fn text(text: impl Into<Vec<u8>>) -> Reply {
        Reply::Bytes(text.into())
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            Reply::Bytes(bytes) => bytes.clone(),
            Reply::Value(value) => {
                let mut out = Vec::with_capacity(value.len() + 16);
                resp::write_bulk(&mut out, value);
                out
            }
        }
    }
}

fn worded(answer: Answer) -> Reply {
    match answer {
        Answer::Served(value) => Reply::Value(value),
        // Rounded up: a client that came back earlier than told would be refused again.
        Answer::Refused(Some(wait)) => Reply::text(format!("-BUSY {}\r\n", (wait.0.max(0) + 999) / 1000)),
        Answer::Refused(None) => Reply::text("-BUSY\r\n"),
        Answer::Failed(reason) => Reply::text(format!("-ERR {reason}\r\n")),
    }
}

enum Asked {
    Now(Vec<u8>),
    Request(Request),
}

fn error(text: impl std::fmt::Display) -> Asked {
    let text: String = text.to_string().chars().filter(|c| !c.is_control()).take(200).collect();
    Asked::Now(format!("-ERR {text}\r\n").into_bytes())
}

/// What a command asks for.
fn understand(context: &Context, words: &[&[u8]], came: Micros) -> Asked {
    let verb = words[0].to_ascii_uppercase();
    let write = match verb.as_slice() {
        b"PREAD" => false,
        b"PWRITE" => true,
        b"PING" if context.serving.get() => return Asked::Now(b"+PONG\r\n".to_vec()),
        b"PING" => return error("not serving yet"),
        b"CLIENT" | b"SELECT" => return Asked::Now(b"+OK\r\n".to_vec()),
        _ => return error("unknown command"),
    };
    if words.len() != if write { 5 } else { 4 } {
        return error("wrong number of arguments");
    }
    let text = |word| std::str::from_utf8(word).ok().filter(|w: &&str| !w.contains(char::is_control));
    let (Some(piece), Some(name), Some(list)) = (text(words[1]), text(words[2]), text(words[3])) else {
        return error("arguments must be text");
    };
    let hex = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex(piece) {
        return error("the piece must be 16 hex digits");
    }
    if name.is_empty() || name.len() > 256 || list.len() > 1024 {
        return error("the id or the list is too long or empty");
    }
    let (mut class, mut plan, mut wait, mut volume) = (None, None, None, None);
    let (mut units, mut shard, mut hosts, mut extra) = (Some(1), Some(-1), Some(1), Vec::new());
    for pair in list.split(',') {
        match pair.split_once('=') {
            Some(("c", v)) => class = context.config.classes.iter().position(|c| c.name == v),
            Some(("t", v)) => plan = context.config.plans.iter().position(|p| p == v),
            Some(("d", v)) => wait = v.parse::<u32>().ok(),
            Some(("volume", v)) => volume = Some(v).filter(|v| hex(v)),
            Some(("units", v)) => units = v.parse::<u32>().ok(),
            Some(("shard", v)) => shard = v.parse::<i32>().ok(),
            Some(("hosts", v)) => hosts = v.parse::<u32>().ok(),
            Some(_) => extra.push(pair),
            None => return error(format_args!("{pair:?} is not a name and a value")),
        }
    }
    let Some(class) = class else { return error("c: unknown class") };
    let Some(plan) = plan else { return error("t: unknown plan") };
    let Some(wait) = wait else { return error("d: not a time in milliseconds") };
    let Some(volume) = volume else { return error("volume: must be 16 hex digits") };
    let Some(units) = units else { return error("units: not a number") };
    let Some(shard) = shard else { return error("shard: not a number") };
    let Some(hosts) = hosts else { return error("hosts: not a number") };
    if context.config.classes[class].write != write {
        return error("c: the class is of the other kind");
    }
    Asked::Request(Request {
        name: name.into(),
        class,
        plan,
        write,
        piece: piece.into(),
        volume: volume.into(),
        units,
        shard: u32::try_from(shard).ok(),
        hosts,
        extra: extra.join(",").into(),
        body: words.get(4).map(|b| Bytes::from(*b)),
        extent: None,
        until: Micros(came.0 + i64::from(wait) * 1000 - ON_THE_WAY),
    })
}

enum Woken {
    Moved,
    Tick,
    End(Reason),
}

async fn client(context: Rc<Context>, stream: Async<TcpStream>, address: SocketAddr) {
    let _count = Count::up(&context, |c| &c.clients);
    // Guards the descriptors: beyond the bound a connection is answered, with refusals, and closed.
    let beyond = context.clients.get() > context.client_bound();
    let mut wire = Wire::new(stream, "client", address, BOUNDS);
    let (answers, answered) = async_channel::bounded(PIPELINE);
    let mut answered = Box::pin(answered);
    let (mut slots, mut first) = (VecDeque::<Slot>::new(), 0u64);
    let (mut closing, mut asked_since) = (None, false);
    let wait = |reply| Some(Waiting::new(&context, reply));
    let mut moved_at = context.clock.now();
    let reason = loop {
        let full = slots.len() >= PIPELINE;
        while closing.is_none() && slots.len() < PIPELINE {
            let came = context.clock.now();
            let room = wire.input.room() > 0;
            match resp::command(wire.input.contiguous()) {
                Ok(Some((words, used))) => {
                    let asked = understand(&context, &words, came);
                    wire.input.consume(used);
                    wire.carried += 1;
                    asked_since |= context.stopping.get().is_some();
                    let mut slot = Slot { id: None, reply: None };
                    match asked {
                        Asked::Now(reply) => slot.reply = wait(Reply::text(reply)),
                        Asked::Request(_) if beyond => slot.reply = wait(worded(Answer::Refused(None))),
                        Asked::Request(request) => {
                            let id = context.number();
                            let ticket = Ticket { slot: first + slots.len() as u64, to: answers.clone() };
                            match context.module.try_send(Mail::Take(id, request, ticket)) {
                                Ok(()) => slot.id = Some(id),
                                Err(_) => slot.reply = wait(worded(Answer::Refused(None))),
                            }
                        }
                    }
                    slots.push_back(slot);
                    if beyond {
                        closing = Some(Reason::Bound);
                    }
                }
                Ok(None) if room => break,
                Ok(None) => {
                    slots.push_back(Slot {
                        id: None,
                        reply: wait(Reply::text("-ERR Protocol error: too long\r\n")),
                    });
                    closing = Some(Reason::Protocol);
                }
                Err(e) => {
                    let text = format!("-ERR Protocol error: {}\r\n", e.0);
                    slots.push_back(Slot { id: None, reply: wait(Reply::text(text)) });
                    closing = Some(Reason::Protocol);
                }
            }
        }
        while let Some(reply) = slots.front().and_then(|s| s.reply.as_ref()) {
            if !wire.output.push(&reply.reply.bytes()) {
                break;
            }
            slots.pop_front();
            first += 1;
        }
        if full && slots.len() < PIPELINE {
            continue;
        }
        let stopping = context.stopping.get();
        if slots.is_empty() && wire.output.is_empty() {
            if let Some(reason) = closing {
                break reason;
            }
            let idle = wire.input.is_empty();
            if stopping.is_some_and(|at| idle && (asked_since || context.clock.now().0 >= at.0 + LINGER)) {
                break Reason::Stopped;
            }
        }
        // Guards newcomers: where connections are scarce, those that stand about make room, though not while
        // anything is owed to them.
        let many = context.clients.get() > context.client_bound() * 3 / 4;
        if many && slots.iter().all(|s| s.reply.is_some()) && context.clock.now().0 - moved_at.0 > QUIET {
            break Reason::Idle;
        }
        let answer = async { answered.next().await.map(|(slot, answer)| (slot, worded(answer))) };
        let moved = async {
            Err(match wire.next().await {
                Some(Ok(Moved::End)) => Woken::End(Reason::PeerClosed),
                Some(Err(_)) => Woken::End(Reason::Reset),
                _ => Woken::Moved,
            })
        };
        let stop = async {
            let told = async {
                match stopping {
                    None => drop(context.stopped.1.recv().await),
                    Some(_) => future::pending().await,
                }
            };
            let pause = if stopping.is_some() { 50 } else { 20_000 };
            let tick = async {
                Timer::after(Duration::from_millis(pause)).await;
            };
            future::or(told, tick).await;
            Err(Woken::Tick)
        };
        match future::or(future::or(async { Ok(answer.await) }, moved), stop).await {
            Ok(Some((slot, reply))) => {
                if let Some(slot) = slots.get_mut((slot - first) as usize) {
                    slot.reply = wait(reply);
                }
            }
            Ok(None) | Err(Woken::Tick) => {}
            Err(Woken::Moved) => moved_at = context.clock.now(),
            Err(Woken::End(reason)) => break reason,
        }
    };
    wire.reason = reason;
    for id in slots.iter().filter(|s| s.reply.is_none()).filter_map(|s| s.id) {
        let _ = context.module.send(Mail::Left(id)).await;
    }
}
