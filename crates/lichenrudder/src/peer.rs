//! The actor of one disk box: it carries out attempts, each alone on a connection, and keeps idle connections.
use crate::bans;
use crate::blocks;
use crate::context::{Context, Count, Weight};
use crate::module::Mail;
use crate::value::{self, Ended, Passing, Value};
use crate::wire::{Moved, Reason, Wire};
use async_channel::{Receiver, Sender, WeakSender};
use async_io::Timer;
use config::{Speaks, Target};
use dispatch::{Attempt, Bytes};
use futures_lite::{future, StreamExt};
use iscsi::initiator::Initiator;
use oxbowhill::interface::{Ending, Micros, NodeEntry, NodeId, NodeState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What a reply holds beside its value: the figures and the report.
const BESIDE: usize = 4096;
/// What a command may take: one value and its words.
const COMMAND: usize = resp::LONGEST + 16 * 1024;
/// The most mail that may wait.
const MAILBOX: usize = 1024;
/// Idle connections that are kept for one disk box.
const KEPT: usize = 48;
/// How long a reply that has begun may stand still.
const STANDSTILL: Duration = Duration::from_millis(100);
/// How long a value that is being passed on may stand still. Its client has begun to get it: nobody else can be asked, and
/// cutting off what still comes would lose the request.
const PAUSE: Duration = Duration::from_secs(10);
/// Of a value that is passed on so much is held back until its end has come.
const HELD_BACK: usize = 1024;
/// A connection rests for so long before it is used again: what a box sends beyond its reply is seen by then, and is
/// not taken for the reply to the next command.
const REST: i64 = 1_000;
/// Of the time after which the disk box closes an idle connection, the part for which it is used again.
const FRESH: f64 = 0.6;

/// What the list says of the disk box; read by attempts that are still waiting for a connection.
pub struct Place {
    /// Its entry on the list.
    pub entry: RefCell<NodeEntry>,
    /// Where it listens.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether it has been told to be draining or gone.
    pub closed: Cell<bool>,
    /// When it last started.
    started: Cell<Option<Micros>>,
    /// How it is spoken to.
    pub speaks: Cell<Speaks>,
    /// Its target's name, for iSCSI.
    pub target: RefCell<String>,
    /// Its idle connections.
    idle: Cell<usize>,
    /// Its sessions or connections belong to this life of it.
    life: Cell<u32>,
}

/// A peer, as others see it.
pub struct Peer {
    /// Its mailbox.
    pub mail: Sender<PeerMail>,
    /// What the list says.
    pub place: Rc<Place>,
}

/// A peer's mail.
pub enum PeerMail {
    /// Make an attempt.
    Start(Attempt),
    /// A connection that is free again.
    Free(Box<Connection>),
    /// The list has changed.
    Changed,
    /// Close the connection that has stood idle the longest: another disk box needs its place.
    Spare,
    /// The program ends.
    Stop,
}

/// A connection to the disk box that counts against the bound while it lives.
pub struct Connection {
    /// The connection itself.
    pub wire: Wire,
    /// The session on it, for iSCSI.
    pub session: Option<Initiator>,
    _count: Count,
    since: Micros,
    life: u32,
}

/// Starts peers for new entries of the list and tells those that are there.
pub fn update(context: &Rc<Context>, targets: &[Target], whole: bool) {
    let mut peers = context.peers.borrow_mut();
    // One that has left is forgotten: its actor ends once nothing is out there, and one that returns is new. Guards
    // memory where every box is replaced, and replaced again.
    let leave = |peer: &Peer| peer.place.closed.set(true);
    if whole {
        let named: BTreeSet<&NodeId> = targets.iter().map(|t| &t.entry.node).collect();
        peers.retain(|node, peer| {
            let stays = named.contains(node);
            if !stays {
                leave(peer);
            }
            stays
        });
    }
    for target in targets {
        let entry = &target.entry;
        if entry.state == NodeState::Gone {
            peers.remove(&entry.node).iter().for_each(leave);
            continue;
        }
        let peer = peers.entry(entry.node.clone()).or_insert_with(|| {
            let (mail, inbox) = async_channel::bounded(MAILBOX);
            let place = Rc::new(Place {
                entry: RefCell::new(entry.clone()),
                address: Cell::new(None),
                closed: Cell::new(false),
                started: Cell::new(entry.started),
                speaks: Cell::new(target.speaks),
                target: RefCell::new(target.target.clone()),
                idle: Cell::new(0),
                life: Cell::new(0),
            });
            let actor = run(context.clone(), place.clone(), inbox, mail.downgrade());
            context.executor.spawn(actor).detach();
            Peer { mail, place }
        });
        let place = &peer.place;
        if place.started.replace(entry.started) < entry.started || place.address.get() != target.address {
            place.life.set(place.life.get() + 1);
        }
        place.entry.replace(entry.clone());
        place.speaks.set(target.speaks);
        place.address.set(target.address);
        place.closed.set(bans::seen(context, entry.clone()).state != NodeState::Ready);
        drop(peer.mail.try_send(PeerMail::Changed));
    }
}

/// Whether an idle connection may carry a request: nothing has come on it, not even its end.
async fn usable(connection: &mut Connection) -> bool {
    future::poll_once(connection.wire.next()).await.is_none()
}

async fn run(context: Rc<Context>, place: Rc<Place>, inbox: Receiver<PeerMail>, own: WeakSender<PeerMail>) {
    let mut inbox = Box::pin(inbox);
    let mut idle: Vec<Connection> = Vec::new();
    loop {
        let sweep = async {
            Timer::after(Duration::from_secs(1)).await;
            Some(PeerMail::Changed)
        };
        place.idle.set(idle.len());
        let next = match idle.is_empty() {
            true => inbox.next().await,
            false => future::or(inbox.next(), sweep).await,
        };
        match next {
            // Forgotten, and nothing is out any more.
            None => {
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::Drained);
                return;
            }
            Some(PeerMail::Start(attempt)) => {
                let connection = idle.pop().filter(|c| c.life == place.life.get());
                let work = serve(context.clone(), place.clone(), attempt, connection, own.upgrade());
                context.executor.spawn(work).detach();
            }
            Some(PeerMail::Free(mut connection)) => {
                if place.closed.get() || connection.life != place.life.get() {
                    connection.wire.reason = Reason::Drained;
                } else if idle.len() >= KEPT {
                    connection.wire.reason = Reason::Bound;
                } else {
                    idle.push(*connection);
                }
            }
            Some(PeerMail::Spare) => {
                if !idle.is_empty() {
                    idle.remove(0).wire.reason = Reason::Bound;
                }
            }
            Some(PeerMail::Stop) => {
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::Stopped);
                return;
            }
            Some(PeerMail::Changed) => {
                let now = context.clock.now();
                let fresh = (context.config().idle.0 as f64 * FRESH) as i64;
                for c in idle.iter_mut() {
                    let dead = place.closed.get() || c.life != place.life.get();
                    c.wire.reason = if dead { Reason::Drained } else { Reason::Idle };
                }
                idle.retain(|c| {
                    !place.closed.get() && c.life == place.life.get() && now.0 - c.since.0 < fresh
                });
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::PeerClosed);
            }
        }
    }
}

/// Carries out one attempt and tells the module of its end.
async fn serve(
    context: Rc<Context>,
    place: Rc<Place>,
    attempt: Attempt,
    free: Option<Connection>,
    own: Option<Sender<PeerMail>>,
) {
    let mut ready = None;
    if let Some(mut free) = free {
        let rested = Micros(free.since.0 + REST).min(attempt.until);
        if rested > context.clock.now() {
            Timer::at(context.clock.instant(rested)).await;
        }
        ready = usable(&mut free).await.then_some(free);
    }
    let connection = match ready {
        Some(connection) => Ok(connection),
        None => connect(&context, &place, &attempt).await,
    };
    let ended = match connection {
        Err(ending) => Some(attempt.ended(ending)),
        // Guards the rule on drains: told meanwhile, this attempt must not start any more.
        Ok(mut connection) if place.closed.get() => {
            connection.wire.reason = Reason::Drained;
            Some(attempt.ended(Ending::Moot))
        }
        Ok(mut connection) => {
            let (ended, mut keep) = match place.speaks.get() {
                Speaks::Resp => exchange(&context, &attempt, &mut connection.wire).await,
                Speaks::Iscsi => {
                    let target = place.target.borrow().clone();
                    blocks::exchange(&context, &attempt, &mut connection, &target).await
                }
            };
            connection.wire.carried += 1;
            let ended = match ended {
                Exchanged::Ended(ended) => Some(ended),
                Exchanged::Begun { parts, length } => {
                    let (passing, coming) = Passing::begin(&context, length);
                    let ended = Ended { value: Some(coming), ..attempt.ended(Ending::Ok) };
                    let _ = context.module.send(Mail::Ended(ended)).await;
                    keep = pass_on(&context, &attempt, &mut connection.wire, passing, parts).await;
                    None
                }
            };
            if keep {
                connection.since = context.clock.now();
                if let Some(own) = own {
                    drop(own.try_send(PeerMail::Free(Box::new(connection))));
                }
            }
            ended
        }
    };
    if let Some(ended) = ended {
        let _ = context.module.send(Mail::Ended(ended)).await;
    }
}

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
async fn pass_on(
    context: &Rc<Context>,
    attempt: &Attempt,
    wire: &mut Wire,
    mut passing: Passing,
    parts: usize,
) -> bool {
    let mut weight = Weight::new(context, |c| &c.arriving);
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
                    let _ = context.module.send(Mail::Told(volume, units)).await;
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
        Some(Ok(Moved::Read | Moved::Wrote)) => return true,
        Some(Ok(Moved::End)) | Some(Err(_)) => Reason::Reset,
        None => Reason::Protocol,
    };
    false
}

/// A new connection, or how the attempt ends without one.
async fn connect(context: &Rc<Context>, place: &Place, attempt: &Attempt) -> Result<Connection, Ending> {
    let Some(address) = place.address.get() else { return Err(Ending::ConnectFailed) };
    // Guards the module's belief: the front's own bound says nothing about the box. Idle connections make room first.
    while context.upstream.get() >= context.upstream_bound() {
        let asked = context.peers.borrow().values().any(|peer| {
            let idle = peer.place.idle.get();
            peer.place.idle.set(idle.saturating_sub(1));
            idle > 0 && peer.mail.try_send(PeerMail::Spare).is_ok()
        });
        if !asked {
            return Err(Ending::Moot);
        }
        future::yield_now().await;
    }
    let count = Count::up(context, |c| &c.upstream);
    let life = place.life.get();
    let patience = context.config().settings.connect_timeout.0;
    let until = match patience {
        0 => attempt.until,
        patience => attempt.until.min(Micros(context.clock.now().0 + patience)),
    };
    let bounds = (context.longest_value() + BESIDE, COMMAND);
    let up = async { Wire::connect("box", address, bounds).await.ok() };
    let late = async {
        Timer::at(context.clock.instant(until)).await;
        None
    };
    match future::or(up, late).await {
        Some(wire) => Ok(Connection { wire, session: None, _count: count, since: context.clock.now(), life }),
        None => {
            crate::log::line(format_args!(
                "conn kind=box peer={address} carried=0 reason={}",
                Reason::ConnectFailed
            ));
            Err(Ending::ConnectFailed)
        }
    }
}

fn command(context: &Context, attempt: &Attempt) -> Vec<u8> {
    let r = &attempt.request;
    let wait = ((attempt.until.0 - context.clock.now().0) / 1000).max(1);
    let config = context.config();
    let class = config.classes.get(r.class).map_or("", |c| c.name.as_str());
    let plan = config.plans.get(r.plan).map_or("", |p| p.as_str());
    let shard = r.shard.map_or(-1, i64::from);
    let comma = if r.extra.is_empty() { "" } else { "," };
    let list = format!(
        "c={class},t={plan},d={wait},volume={},units={},shard={shard},hosts={}{comma}{}",
        r.volume, r.units, r.hosts, r.extra
    );
    let verb: &[u8] = if r.write { b"PWRITE" } else { b"PREAD" };
    let mut words = vec![verb, r.piece.as_bytes(), r.name.as_bytes(), list.as_bytes()];
    words.extend(r.body.as_deref());
    let mut out = Vec::new();
    resp::write_command(&mut out, &words);
    out
}

/// Whether what follows an error line's first words has the form of figures: `cost=4 inflight=7,queue=2`.
fn figures(text: &[u8]) -> bool {
    let pair = |p: &[u8]| p.contains(&b'=') && p.iter().all(u8::is_ascii_graphic);
    text.is_empty() || (text[0] == b' ' && text[1..].split(|b| b" ,".contains(b)).all(pair))
}

/// What a reply says: how the attempt ended, the units served elsewhere, the value; none for one that is spoilt.
/// Guards bookings: only an error line of the exact form says that nothing has run. Guards clients: only an array that
/// begins with a value serves.
fn outcome(reply: &resp::Reply<'_>) -> Option<(Ending, f64, Option<Bytes>)> {
    match reply {
        resp::Reply::Error(line) => match (line.strip_prefix(b"BUSY"), line.strip_prefix(b"ERR")) {
            (Some(rest), _) if figures(rest) => Some((Ending::Full, elsewhere(rest), None)),
            (_, Some(rest)) if rest.iter().all(|b| (b' '..=b'~').contains(b)) => {
                Some((Ending::Error, elsewhere(rest), None))
            }
            _ => None,
        },
        resp::Reply::Array(parts) => match parts.first() {
            Some(resp::Reply::Bulk(Some(value))) => {
                let figures = match parts.get(1) {
                    Some(resp::Reply::Bulk(Some(figures))) => elsewhere(figures),
                    _ => 0.0,
                };
                Some((Ending::Ok, figures, Some(Bytes::from(*value))))
            }
            _ => None,
        },
        _ => None,
    }
}

fn elsewhere(text: &[u8]) -> f64 {
    let words = text.split(|b| b" ,".contains(b));
    let cost = words.filter_map(|w| w.strip_prefix(b"cost=")).next();
    cost.and_then(|c| std::str::from_utf8(c).ok()?.parse().ok())
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
        .unwrap_or(0.0)
}

/// Writes the command and reads its reply; also tells whether the connection may be used again.
async fn exchange(context: &Rc<Context>, attempt: &Attempt, wire: &mut Wire) -> (Exchanged, bool) {
    let ended = |ended: Ended, keep: bool| (Exchanged::Ended(ended), keep);
    wire.output.push(&command(context, attempt));
    let until = context.clock.instant(attempt.until);
    let mut late = Timer::at(until);
    let mut weight = Weight::new(context, |c| &c.arriving);
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
            attempt.request.piecemeal && !unsent && *length <= value::LONGEST && !context.arriving_full()
        };
        if let Some((parts, length, used)) = head.filter(passed) {
            wire.input.consume(used);
            return (Exchanged::Begun { parts: parts - 1, length }, false);
        }
        let ending = match moved {
            Some(Ok(Moved::Wrote)) => {
                context.count_relayed();
                continue;
            }
            Some(Ok(Moved::Read)) => match resp::reply(wire.input.contiguous(), context.longest_value()) {
                Ok(None) if room => continue,
                Ok(Some((reply, used))) => {
                    let (ending, elsewhere, value) = match outcome(&reply) {
                        Some(said) if !unsent || said.0 == Ending::Full => said,
                        // Whatever it answers, it is not this command.
                        _ if unsent => (Ending::ConnectFailed, 0.0, None),
                        _ => {
                            wire.reason = Reason::Protocol;
                            return ended(attempt.ended(Ending::Error), false);
                        }
                    };
                    wire.input.consume(used);
                    let clean = !unsent && wire.input.is_empty();
                    if !clean {
                        wire.reason = Reason::Protocol;
                    }
                    let value = value.map(Value::Whole);
                    return ended(Ended { elsewhere, value, ..attempt.ended(ending) }, clean);
                }
                _ => {
                    wire.reason = Reason::Protocol;
                    // It has run, as far as can be told, and its box is well.
                    return ended(
                        attempt.ended(if unsent { Ending::ConnectFailed } else { Ending::Error }),
                        false,
                    );
                }
            },
            Some(Ok(Moved::End)) | Some(Err(_)) => {
                wire.reason = Reason::Reset;
                Ending::Reset
            }
            None if begun => {
                wire.reason = Reason::Protocol;
                Ending::Error
            }
            None => {
                wire.reason = Reason::Timeout;
                Ending::Timeout
            }
        };
        return ended(attempt.ended(if unsent { Ending::ConnectFailed } else { ending }), false);
    }
}
