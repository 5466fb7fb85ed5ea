//! The platform's front: RESP2 commands of clients, turned into requests of the core and back.
use crate::context::{Context, Count, Weight};
use crate::module::{Mail, Ticket};
use crate::seats::{room, Doing, Seat, SHORT};
use crate::value::{Answer, Coming, Value};
use crate::wire::{accept, Moved, Reason, Wire};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use dispatch::{Bytes, Request};
use futures_lite::{future, StreamExt};
use oxbowhill::interface::{Micros, RequestId};
use ring::Ring;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const BOUNDS: (usize, usize) = (resp::LONGEST + 4096, resp::LONGEST + 4096);
/// What a ring takes in any case.
const SMALL: usize = 4096;
/// Commands of one connection that may be unanswered.
const PIPELINE: usize = 128;
/// A client's time began when it sent, and its answer has a way to go: so much of it is spent on that.
const ON_THE_WAY: i64 = 2_000;
/// A connection that comes while the others are closed has so long to bring its request.
const CROSSED: i64 = 200_000;
/// How often a process that ends looks whether another has come.
const FOLLOWED: Duration = Duration::from_millis(20);
/// Commands that one connection has understood in one turn; then the others have theirs.
const TURN: usize = 16;

/// Accepts clients until the program ends.
pub async fn listen(context: Rc<Context>, listener: Async<TcpListener>) {
    // Guards the descriptors of everything else: beyond the bound some are refused, more are not accepted for now.
    let may = || context.clients.get() < context.client_bound() + context.beyond_bound();
    let take = |stream, address| context.executor.spawn(client(context.clone(), stream, address)).detach();
    // Guards new connections against a process that is about to end, where another listens beside it.
    let over = async || {
        let _ = context.stopped.1.recv().await;
        while !context.followed() {
            Timer::after(FOLLOWED).await;
        }
    };
    accept(listener, may, async || room(&context).await, take, over).await;
}

enum Reply {
    /// The head of a bulk string, whose value is coming.
    Coming(Vec<u8>, Coming),
    Bytes(Vec<u8>),
    /// The head of a bulk string, and its value.
    Value(Vec<u8>, Bytes),
}

struct Slot {
    id: Option<RequestId>,
    reply: Option<Waiting>,
}

/// An answer that waits for its client; its bytes count against the bound while it does.
struct Waiting {
    reply: Reply,
    /// How much of it is in the ring.
    begun: usize,
    /// Whether the end of a value that came is there.
    ended: bool,
    weight: usize,
    context: Rc<Context>,
}

impl Waiting {
    fn new(context: &Rc<Context>, reply: Reply) -> Waiting {
        let weight = match &reply {
            Reply::Bytes(bytes) => bytes.len(),
            // What is on its way counts where it comes in.
            Reply::Coming(..) => 0,
            Reply::Value(_, value) => value.len(),
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
        Waiting { reply, begun: 0, ended: false, weight, context: context.clone() }
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

    /// What follows after so many bytes, as far as it lies in one piece; empty at the end.
    fn from(&self, at: usize) -> &[u8] {
        match self {
            Reply::Bytes(bytes) | Reply::Coming(bytes, _) => &bytes[at..],
            Reply::Value(head, value) => match at.checked_sub(head.len()) {
                None => &head[at..],
                Some(at) if at < value.len() => &value[at..],
                Some(at) => &b"\r\n"[at - value.len()..],
            },
        }
    }
}

fn worded(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Value::Coming(coming)) => {
            Reply::Coming(format!("${}\r\n", coming.length).into_bytes(), coming)
        }
        Answer::Served(Value::Whole(value)) => {
            Reply::Value(format!("${}\r\n", value.len()).into_bytes(), value)
        }
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
    if !name.bytes().all(|b| b.is_ascii_graphic()) {
        return error("the id must be printable and without spaces");
    }
    let config = context.config();
    let (mut class, mut plan, mut wait, mut volume) = (None, None, None, None);
    let (mut units, mut shard, mut hosts, mut extra) = (Some(1), Some(-1), Some(1), Vec::new());
    for pair in list.split(',') {
        match pair.split_once('=') {
            Some(("c", v)) => class = config.class(v),
            Some(("t", v)) => plan = config.plan(v),
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
    // Guards disk boxes and the module against what no box can use.
    let Some(units) = units.filter(|u| (1.0..=config.settings.most_units).contains(&f64::from(*u))) else {
        return error("units: not a number from 1 to the largest size");
    };
    let there = |s: &i32| *s >= -1 && config.shards.is_none_or(|n| i64::from(*s) < i64::from(n));
    let Some(shard) = shard.filter(there) else { return error("shard: not the number of one") };
    let Some(hosts) = hosts.filter(|h| *h > 0) else { return error("hosts: not a number above 0") };
    if config.classes[class].write.is_some_and(|kind| kind != write) {
        return error("c: the class is of the other kind");
    }
    // Guards the module, which remembers until when clients wait, against ones that say they wait for weeks.
    let wait = (i64::from(wait) * 1000).min(config.classes[class].deadline.0);
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
        piecemeal: true,
        until: Micros(came.0 + wait - ON_THE_WAY),
    })
}

/// A client's side toward the core, without its connection.
struct Client {
    context: Rc<Context>,
    /// Whether it came beyond the bound: it is answered with a refusal and closed, which guards the descriptors.
    beyond: bool,
    answers: Sender<(u64, Answer)>,
    /// Commands whose answers are not written yet, in order, and the number of the first.
    slots: VecDeque<Slot>,
    first: u64,
    closing: Option<Reason>,
    seat: Seat,
    /// What its rings count for.
    rings: Weight,
    came: Micros,
    /// When the command that is being read must be whole.
    whole_by: Option<Micros>,
    /// What was written when it last went on, and when that was.
    went_on: (u64, Micros),
}

impl Client {
    fn push(&mut self, id: Option<RequestId>, reply: Option<Reply>) {
        let reply = reply.map(|r| Waiting::new(&self.context, r));
        self.slots.push_back(Slot { id, reply });
    }

    /// Takes in the commands that have come, as many as may be unanswered and as one turn allows; tells whether it
    /// was the turn that ended it.
    fn read(&mut self, wire: &mut Wire) -> bool {
        let mut left = TURN;
        while self.closing.is_none() && self.slots.len() < PIPELINE {
            // Guards the others against one that sends as fast as it can.
            if left == 0 {
                return true;
            }
            left -= 1;
            let came = self.context.clock.now();
            let room = wire.input.room() > 0;
            let fault = match resp::command(wire.input.contiguous()) {
                Ok(Some((words, used))) => {
                    let asked = understand(&self.context, &words, came);
                    wire.input.consume(used);
                    wire.carried += 1;
                    self.whole_by = None;
                    self.take(asked);
                    continue;
                }
                Ok(None) if room => {
                    if wire.input.is_empty() && wire.carried > 0 {
                        self.whole_by = None;
                    } else if self.whole_by.is_none() {
                        self.whole_by = Some(Micros(came.0 + self.limits().0));
                    }
                    // Guards memory against many large halves.
                    if wire.input.memory() > SMALL && self.context.rings_full() {
                        self.push(None, Some(Reply::text("-ERR too much is half there\r\n")));
                        self.closing = Some(Reason::Bound);
                        return false;
                    }
                    // Guards descriptors and memory: silent connections, and commands that stay halves.
                    if self.whole_by.is_none_or(|by| came < by) {
                        return false;
                    }
                    if wire.input.is_empty() {
                        self.closing = Some(Reason::Idle);
                        return false;
                    }
                    "the command was not whole in time"
                }
                Ok(None) => "too long",
                Err(e) => e.0,
            };
            self.push(None, Some(Reply::text(format!("-ERR Protocol error: {fault}\r\n"))));
            self.closing = Some(Reason::Protocol);
        }
        false
    }

    /// Refuses a request that the module is not told of.
    fn refuse(&mut self, class: usize) {
        let answer = Answer::Refused(None);
        self.context.count_answer(class, &answer);
        self.push(None, Some(worded(answer)));
    }

    /// How long a command may take to be whole, and how long answers may wait unread.
    fn limits(&self) -> (i64, i64) {
        let clients = self.context.config().clients;
        ((clients.command_s * 1e6) as i64, (clients.unread_s * 1e6) as i64)
    }

    /// Tells the others what the connection does, and when it is to be looked at again.
    fn settle(&mut self, wire: &Wire) -> Micros {
        let now = self.context.clock.now();
        let nothing = self.slots.is_empty() && wire.output.is_empty() && wire.input.is_empty();
        self.seat.set(match (nothing, wire.carried) {
            (true, 0) => Doing::Silent,
            (true, _) => Doing::Idle,
            _ => Doing::Busy,
        });
        let beyond = |ring: &Ring| ring.memory().saturating_sub(SMALL);
        self.rings.set(beyond(&wire.input) + beyond(&wire.output));
        if wire.output.is_empty() || wire.written != self.went_on.0 {
            self.went_on = (wire.written, now);
        }
        let unread = (!wire.output.is_empty()).then_some(Micros(self.went_on.1 .0 + self.limits().1));
        let waits = if self.context.stopping.get().is_some() { 50_000 } else { 20_000_000 };
        let ends = [self.whole_by.filter(|_| self.closing.is_none()), unread];
        let next = ends.into_iter().flatten().min().unwrap_or(Micros(i64::MAX));
        next.min(Micros(now.0 + waits))
    }

    fn take(&mut self, asked: Asked) {
        match asked {
            Asked::Now(reply) => self.push(None, Some(Reply::text(reply))),
            Asked::Request(request) if self.beyond => self.refuse(request.class),
            Asked::Request(request) => {
                let (id, class) = (self.context.number(), request.class);
                let slot = self.first + self.slots.len() as u64;
                let ticket = Ticket { slot, to: self.answers.clone(), class };
                match self.context.module.try_send(Mail::Take(id, request, ticket)) {
                    Ok(()) => self.push(Some(id), None),
                    Err(_) => self.refuse(class),
                }
            }
        }
        if self.beyond {
            self.closing = Some(Reason::Bound);
        }
    }

    /// Puts out the answers whose turn it is, as far as there is room; tells whether there were any.
    fn write(&mut self, wire: &mut Wire) -> bool {
        // Guards answers that their box takes long over: they begin to wait unread now, and not when the connection was
        // last looked at, which is when the request came.
        if wire.output.is_empty() {
            self.went_on = (wire.written, self.context.clock.now());
        }
        let before = self.first;
        while let Some(waiting) = self.slots.front_mut().and_then(|s| s.reply.as_mut()) {
            // What is not read waits where it counts, and not in many rings.
            if !wire.output.is_empty() && self.context.rings_full() {
                break;
            }
            let piece = waiting.reply.from(waiting.begun);
            if !piece.is_empty() {
                let count = piece.len().min(wire.output.room());
                if count == 0 {
                    break;
                }
                wire.output.push(&piece[..count]);
                waiting.begun += count;
                continue;
            }
            if let Reply::Coming(bytes, coming) = &mut waiting.reply {
                if coming.length > 0 {
                    // The next piece is awaited by the connection's own loop.
                    break;
                }
                if !std::mem::replace(&mut waiting.ended, true) {
                    *bytes = b"\r\n".to_vec();
                    waiting.begun = 0;
                    continue;
                }
            }
            self.slots.pop_front();
            self.first += 1;
        }
        self.first > before
    }

    /// The pieces of the value that is being written, where the next one is awaited.
    fn awaits(&self) -> Option<Receiver<Bytes>> {
        let waiting = self.slots.front()?.reply.as_ref()?;
        match &waiting.reply {
            Reply::Coming(bytes, coming) if waiting.begun == bytes.len() && coming.length > 0 => {
                Some(coming.pieces.clone())
            }
            _ => None,
        }
    }

    /// Takes the next piece of the value that is being written; false where it can't be finished.
    fn piece(&mut self, piece: Option<Bytes>) -> bool {
        let waiting = self.slots.front_mut().and_then(|s| s.reply.as_mut());
        let (Some(waiting), Some(piece)) = (waiting, piece) else { return false };
        if let Reply::Coming(bytes, coming) = &mut waiting.reply {
            coming.length -= piece.len().min(coming.length);
            *bytes = piece.to_vec();
            waiting.begun = 0;
        }
        true
    }

    fn answered(&mut self, slot: u64, answer: Answer) {
        let reply = Waiting::new(&self.context, worded(answer));
        let place = slot.checked_sub(self.first).and_then(|n| self.slots.get_mut(n as usize));
        if let Some(slot) = place {
            slot.reply = Some(reply);
        }
    }

    /// Whether the connection is to end now, and why.
    fn ends(&self, wire: &Wire) -> Option<Reason> {
        let context = &self.context;
        let now = context.clock.now();
        if self.slots.is_empty() && wire.output.is_empty() {
            if self.closing.is_some() {
                return self.closing;
            }
            // One that has just come brings a request that crossed the closing of another.
            let brings = wire.carried == 0 && now.0 < self.came.0 + CROSSED;
            if wire.input.is_empty() && context.lingered() && !brings {
                return Some(Reason::Stopped);
            }
        }
        // Guards memory and descriptors against clients that ask and do not read.
        (!wire.output.is_empty()
            && wire.written == self.went_on.0
            && now.0 - self.went_on.1 .0 >= self.limits().1)
            .then_some(Reason::Unread)
    }
}

enum Woken {
    Piece(Option<Bytes>),
    Answer(Option<(u64, Answer)>),
    Moved,
    Tick,
    MakeRoom,
    End(Reason),
}

async fn client(context: Rc<Context>, stream: Async<TcpStream>, address: SocketAddr) {
    let _count = Count::up(&context, |c| &c.clients);
    let mut wire = Wire::new(stream, "client", address, BOUNDS);
    let (answers, answered) = async_channel::bounded(PIPELINE);
    let mut answered = Box::pin(answered);
    let idle = Micros((context.config().clients.idle_s * 1e6) as i64);
    let mut client = Client {
        beyond: context.clients.get() > context.client_bound(),
        answers,
        slots: VecDeque::new(),
        first: 0,
        closing: None,
        seat: Seat::take(&context, (idle, idle.min(SHORT))),
        rings: Weight::new(&context, |c| &c.rings),
        came: context.clock.now(),
        whole_by: None,
        went_on: (0, context.clock.now()),
        context: context.clone(),
    };
    wire.reason = loop {
        let more = client.read(&mut wire);
        // What was written makes place for commands that have come already.
        let wrote = client.write(&mut wire);
        if let Some(reason) = client.ends(&wire) {
            break reason;
        }
        let look = client.settle(&wire);
        // Guards the others: whatever there is to do, each turn is one of many.
        future::yield_now().await;
        let stopping = context.stopping.get().is_some();
        let answer = async { Woken::Answer(answered.next().await) };
        let moved = async {
            match wire.next().await {
                Some(Ok(Moved::End)) => Woken::End(Reason::PeerClosed),
                Some(Err(_)) => Woken::End(Reason::Reset),
                _ => Woken::Moved,
            }
        };
        let stop = async {
            match stopping {
                false => drop(context.stopped.1.recv().await),
                true => future::pending().await,
            }
            Woken::Tick
        };
        let tick = async {
            match more || wrote {
                true => {}
                false => drop(Timer::at(context.clock.instant(look)).await),
            }
            Woken::Tick
        };
        let asked = client.seat.asked.clone();
        let leave = async {
            let _ = asked.recv().await;
            Woken::MakeRoom
        };
        let awaited = client.awaits();
        let piece = async {
            match awaited {
                Some(pieces) => Woken::Piece(pieces.recv().await.ok()),
                None => future::pending().await,
            }
        };
        let others = future::or(future::or(piece, leave), future::or(stop, tick));
        match future::or(future::or(answer, moved), others).await {
            Woken::Answer(Some((slot, answer))) => client.answered(slot, answer),
            // Guards the client: a value that can't be finished ends its connection, and it can tell.
            Woken::Piece(piece) => {
                if !client.piece(piece) {
                    break Reason::Cut;
                }
            }
            Woken::Answer(None) | Woken::Tick | Woken::Moved => {}
            // Only between requests: what has come meanwhile is served.
            Woken::MakeRoom if client.seat.idle() => break Reason::Idle,
            Woken::MakeRoom => {}
            Woken::End(reason) => break reason,
        }
    };
    for id in client.slots.iter().filter(|s| s.reply.is_none()).filter_map(|s| s.id) {
        let _ = context.module.send(Mail::Left(id)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_beyond_the_bound_fail_and_make_room_again_once_taken() {
        let file = include_str!("../tests/common/config.toml").replace("@IP@", "127.0.0.1");
        let config = config::read("x.toml", &format!("limits = {{ memory_mb = 8 }}\n{file}")).unwrap();
        let context = Context::new(config, async_channel::bounded(1).0);
        let value = || worded(Answer::Served(Value::Whole(Bytes::from(vec![0; resp::LONGEST]))));
        let mut waiting: Vec<Waiting> = (0..20).map(|_| Waiting::new(&context, value())).collect();
        let whole = |w: &Waiting| matches!(w.reply, Reply::Value(..));
        assert_eq!(waiting.iter().filter(|w| whole(w)).count(), 16, "an eighth of 8 MB");
        assert!(waiting[19].reply.from(0).starts_with(b"-ERR "), "it has run: failed, not refused");
        waiting.drain(..2);
        assert!(whole(&Waiting::new(&context, value())));
        drop(waiting);
        assert_eq!(context.unsent.get(), 0);
    }
}
