//! The iSCSI front: sessions of initiators, turned into requests of the core and back.
use crate::context::{Context, Count};
use crate::module::{Mail, Ticket};
use crate::record::{self, Key, Note};
use crate::wire::{accept, Moved, Reason, Wire};
use async_channel::Sender;
use async_io::{Async, Timer};
use config::{Iscsi, Lun};
use dispatch::{Answer, Bytes, Extent, Request};
use futures_lite::{future, StreamExt};
use iscsi::scsi::{Disk, Sense};
use iscsi::target::{Event, Outcome, Shown, Target};
use oxbowhill::interface::{Micros, RequestId};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What one answer may take on the wire, with all its heads.
const ANSWER: usize = iscsi::LONGEST + 16 * 1024;
const BOUNDS: (usize, usize) = (iscsi::LONGEST + 4096, 2 * ANSWER);
/// Initiators at once.
const SESSIONS: usize = 24;
/// Answers that may wait for a session: those of its tasks, and late ones of reads that were aborted.
const ANSWERS: usize = 256;
/// After SIGTERM an idle session is closed after this time.
const LINGER: i64 = 500_000;
/// A login must be through in this time.
const LOGIN: i64 = 10_000_000;

/// By initiator and ISID: a number of its own for each session, and what is closed when another replaces it.
type Names = RefCell<BTreeMap<(Rc<str>, [u8; 6]), (u64, Sender<()>)>>;

struct Front {
    context: Rc<Context>,
    iscsi: Iscsi,
    shown: Rc<Shown>,
    record: Sender<Note>,
    sessions: Names,
}

/// Accepts initiators until the program ends.
pub async fn listen(context: Rc<Context>, iscsi: Iscsi, listener: Async<TcpListener>) {
    let disk = |l: &Lun| Disk { lun: l.lun, blocks: u64::from(l.blocks), serial: l.volume.clone() };
    let shown = Shown {
        name: iscsi.target.clone(),
        address: iscsi.listen.to_string(),
        disks: iscsi.luns.iter().map(disk).collect(),
    };
    let (record, notes) = async_channel::bounded(record::MOST);
    let kept = iscsi.record_s.saturating_mul(1_000_000) as i64;
    context.executor.spawn(record::run(context.clone(), notes, kept)).detach();
    let front =
        Front { context: context.clone(), iscsi, shown: Rc::new(shown), record, sessions: Names::default() };
    let front = Rc::new(front);
    let take = |stream, address| context.executor.spawn(session(front.clone(), stream, address)).detach();
    accept(listener, || context.clients.get() < context.client_bound(), take).await;
}

/// A read or write that is on its way.
struct Work {
    tag: u32,
    read: Option<RequestId>,
    key: Option<Key>,
}

fn request(front: &Front, lun: u8, lba: u64, blocks: u32, body: Option<Bytes>) -> Option<Request> {
    let (context, lun) = (&front.context, front.iscsi.luns.iter().find(|l| l.lun == lun)?);
    let config = &context.config;
    let name = if body.is_some() { &lun.write_class } else { &lun.read_class };
    let class = config.classes.iter().position(|c| c.name == *name)?;
    let wait = lun.deadline_ms.map_or(config.classes[class].deadline.0, |ms| ms.saturating_mul(1000) as i64);
    // The module reckons with requests of that size at most.
    let most = (config.settings.most_units as u32).max(1);
    Some(Request {
        name: format!("{:016x}", context.number().0).into(),
        class,
        plan: config.plans.iter().position(|p| *p == lun.plan)?,
        write: body.is_some(),
        piece: format!("{:016x}", lba / u64::from(lun.piece_blocks)).into(),
        volume: lun.volume.as_str().into(),
        units: blocks.div_ceil(lun.unit_blocks).clamp(1, most),
        shard: Some(lun.shard),
        hosts: lun.hosts,
        extra: "".into(),
        body,
        extent: Some(Extent { first: lba, blocks }),
        until: Micros(context.clock.now().0 + wait),
    })
}

fn outcome(answer: &Answer, write: bool) -> Outcome<'_> {
    match answer {
        Answer::Served(value) => Outcome::Good(value),
        Answer::Refused(wait) => Outcome::Busy(wait.map(|w| (w.0.max(0) as u64).div_ceil(1000))),
        Answer::Failed(_) if write => Outcome::Failed(Sense::WRITE_FAILED),
        Answer::Failed(_) => Outcome::Failed(Sense::READ_FAILED),
    }
}

async fn session(front: Rc<Front>, stream: Async<TcpStream>, address: SocketAddr) {
    let context = &front.context;
    let _count = Count::up(context, |c| &c.clients);
    let mut wire = Wire::new(stream, "initiator", address, BOUNDS);
    if Rc::strong_count(&front) > SESSIONS + 1 {
        wire.reason = Reason::Bound;
        return;
    }
    let mut target = Target::new(front.shown.clone(), context.session());
    let (answers, answered) = async_channel::bounded::<(u64, Answer)>(ANSWERS);
    let (replaced, ended) = async_channel::bounded::<()>(1);
    let own = context.number().0;
    let (mut name, mut replaced) = (None::<(Rc<str>, [u8; 6])>, Some(replaced));
    let mut answered = Box::pin(answered);
    let (mut works, mut next) = (BTreeMap::<u64, Work>::new(), 0u64);
    let mut ready = VecDeque::<(u64, Answer)>::new();
    let mut unacknowledged = VecDeque::<(u32, Key)>::new();
    let (mut out, mut events) = (Vec::new(), Vec::new());
    let mut closing = None;
    let begun = context.clock.now();
    let reason = loop {
        while wire.output.room() >= ANSWER {
            let Some((slot, answer)) = ready.pop_front() else { break };
            let Some(work) = works.remove(&slot) else { continue };
            let status = target.answer(work.tag, outcome(&answer, work.key.is_some()), &mut out);
            if let (Some(status), Some(key)) = (status, work.key) {
                unacknowledged.push_back((status, key));
            }
            wire.output.push(&out);
            out.clear();
        }
        while closing.is_none() && wire.output.room() >= ANSWER {
            let full = wire.input.room() == 0;
            match target.read(wire.input.contiguous(), &mut out, &mut events) {
                Ok(0) if full => closing = Some(Reason::Protocol),
                Ok(0) => break,
                Ok(used) => {
                    wire.input.consume(used);
                    wire.carried += 1;
                }
                Err(_) => closing = Some(Reason::Protocol),
            }
            for event in events.drain(..) {
                match event {
                    Event::LoggedIn { initiator, isid } => {
                        // A login under the name of a session that is there takes its place.
                        let key: (Rc<str>, _) = (initiator.into(), isid);
                        if let Some(replaced) = replaced.take() {
                            let old = front.sessions.borrow_mut().insert(key.clone(), (own, replaced));
                            if let Some((_, old)) = old {
                                old.close();
                            }
                        }
                        name = Some(key);
                    }
                    Event::Read { tag, lun, lba, blocks } => {
                        let Some(request) = request(&front, lun, lba, blocks, None) else { continue };
                        let (id, slot) = (context.number(), next);
                        next += 1;
                        works.insert(slot, Work { tag, read: Some(id), key: None });
                        let ticket = Ticket { slot, to: answers.clone() };
                        if context.module.try_send(Mail::Take(id, request, ticket)).is_err() {
                            ready.push_back((slot, Answer::Refused(None)));
                        }
                    }
                    Event::Write { tag, lun, lba, data } => {
                        let Some((initiator, isid)) = name.clone() else { continue };
                        let mut digest = DefaultHasher::new();
                        (lun, lba, &data).hash(&mut digest);
                        let key = (initiator, isid, tag, digest.finish());
                        let blocks = (data.len() / iscsi::BLOCK) as u32;
                        let body = Some(Bytes::from(data));
                        let Some(request) = request(&front, lun, lba, blocks, body) else { continue };
                        let slot = next;
                        next += 1;
                        works.insert(slot, Work { tag, read: None, key: Some(key.clone()) });
                        let ticket = Ticket { slot, to: answers.clone() };
                        if front.record.try_send(Note::Begin(key, request, ticket)).is_err() {
                            ready.push_back((slot, Answer::Refused(None)));
                        }
                    }
                    Event::Aborted(tag) => {
                        let slot = works.iter().find(|(_, w)| w.tag == tag).map(|(s, _)| *s);
                        if let Some(id) = slot.and_then(|s| works.remove(&s)).and_then(|w| w.read) {
                            let _ = context.module.send(Mail::Left(id)).await;
                        }
                    }
                    Event::Acknowledged(upto) => {
                        // Numbers wrap round: a half of them counts as before.
                        while unacknowledged.front().is_some_and(|(n, _)| upto.wrapping_sub(*n + 1) < 1 << 31)
                        {
                            let Some((_, key)) = unacknowledged.pop_front() else { break };
                            let _ = front.record.send(Note::Acknowledged(key)).await;
                        }
                    }
                    Event::Close => closing = Some(Reason::Done),
                }
            }
            wire.output.push(&out);
            out.clear();
        }
        let now = context.clock.now();
        let quiet = wire.output.is_empty() && ready.is_empty();
        match (closing, context.stopping.get()) {
            (Some(reason), _) if wire.output.is_empty() => break reason,
            (None, Some(at)) if quiet && !target.busy() && now.0 >= at.0 + LINGER => break Reason::Stopped,
            _ => {}
        }
        if name.is_none() && now.0 - begun.0 >= LOGIN {
            break Reason::Idle;
        }
        let answer = async { Ok(answered.next().await) };
        let moved = async {
            Err(match wire.next().await {
                Some(Ok(Moved::End)) => Some(Reason::PeerClosed),
                Some(Err(_)) => Some(Reason::Reset),
                _ => None,
            })
        };
        let other = async {
            let tick = async {
                let wait = if context.stopping.get().is_some() { 50 } else { 1000 };
                Timer::after(Duration::from_millis(wait)).await;
                Err(None)
            };
            let gone = async {
                let _ = ended.recv().await;
                Err(Some(Reason::Replaced))
            };
            future::or(gone, tick).await
        };
        match future::or(future::or(answer, moved), other).await {
            Ok(Some(answer)) => ready.push_back(answer),
            Ok(None) | Err(None) => {}
            Err(Some(reason)) => break reason,
        }
    };
    wire.reason = reason;
    if let Some(name) = &name {
        let mut sessions = front.sessions.borrow_mut();
        if sessions.get(name).is_some_and(|s| s.0 == own) {
            sessions.remove(name);
        }
    }
    // Reads nobody waits for any more; a write goes on, and its result is on the record.
    for id in works.values().filter_map(|w| w.read) {
        let _ = context.module.send(Mail::Left(id)).await;
    }
}
