//! The iSCSI front: sessions of initiators, turned into requests of the core and back.
use crate::context::{Context, Count};
use crate::module::{Mail, Ticket};
use crate::record::{self, Key, Note};
use crate::seats::{room, Doing, Seat};
use crate::value::Answer;
use crate::wire::{accept, Moved, Reason, Wire};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use config::{Iscsi, Lun};
use dispatch::{Bytes, Extent, Request};
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
/// Where connections are scarce, a session that is logged in and has stood idle for so long makes room. Guards mounts
/// against crowds on the other front: an initiator does not open connections as it needs them.
const STANDS: Micros = Micros(60_000_000);

/// Initiator and ISID.
type Name = (Rc<str>, [u8; 6]);

/// A number of its own for each session, and what is closed when another replaces it.
type Names = RefCell<BTreeMap<Name, (u64, Sender<()>)>>;

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
    let may = || context.clients.get() < context.client_bound();
    accept(listener, may, async || room(&context).await, take, async || future::pending().await).await;
}

/// A read or write that is on its way.
struct Work {
    tag: u32,
    write: bool,
    read: Option<RequestId>,
    key: Option<Key>,
}

fn request(front: &Front, lun: u8, lba: u64, blocks: u32, body: Option<Bytes>) -> Option<Request> {
    let (context, lun) = (&front.context, front.iscsi.luns.iter().find(|l| l.lun == lun)?);
    let config = context.config();
    let name = if body.is_some() { &lun.write_class } else { &lun.read_class };
    let class = config.class(name)?;
    let wait = lun.deadline_ms.map_or(config.classes[class].deadline.0, |ms| ms.saturating_mul(1000) as i64);
    // The module reckons with requests of that size at most.
    let most = (config.settings.most_units as u32).max(1);
    Some(Request {
        name: format!("{:016x}", context.number().0).into(),
        class,
        plan: config.plan(&lun.plan)?,
        write: body.is_some(),
        piece: format!("{:016x}", lba / u64::from(lun.piece_blocks)).into(),
        volume: lun.volume.as_str().into(),
        units: blocks.div_ceil(lun.unit_blocks).clamp(1, most),
        shard: Some(lun.shard),
        hosts: lun.hosts,
        extra: "".into(),
        body,
        piecemeal: false,
        extent: Some(Extent { first: lba, blocks }),
        until: Micros(context.clock.now().0 + wait),
    })
}

fn outcome(answer: &Answer, write: bool) -> Outcome<'_> {
    match answer {
        Answer::Served(value) => Outcome::Good(value.whole()),
        Answer::Refused(wait) => Outcome::Busy(wait.map(|w| (w.0.max(0) as u64).div_ceil(1000))),
        Answer::Failed(_) if write => Outcome::Failed(Sense::WRITE_FAILED),
        Answer::Failed(_) => Outcome::Failed(Sense::READ_FAILED),
    }
}

/// A session's side toward the core, without its connection.
struct Session {
    front: Rc<Front>,
    target: Target,
    /// A number of its own among the sessions of one name.
    own: u64,
    name: Option<Name>,
    /// Closed once another session takes its place.
    replaced: (Sender<()>, Receiver<()>),
    answers: Sender<(u64, Answer)>,
    works: BTreeMap<u64, Work>,
    next: u64,
    ready: VecDeque<(u64, Answer)>,
    unacknowledged: VecDeque<(u32, Key)>,
    closing: Option<Reason>,
}

impl Session {
    fn new(front: Rc<Front>, answers: Sender<(u64, Answer)>) -> Session {
        Session {
            target: Target::new(front.shown.clone(), front.context.session()),
            own: front.context.number().0,
            name: None,
            replaced: async_channel::bounded(1),
            answers,
            works: BTreeMap::new(),
            next: 0,
            ready: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            closing: None,
            front,
        }
    }

    /// Answers what is ready, as far as there is room.
    fn answer(&mut self, wire: &mut Wire) {
        let mut out = Vec::new();
        while wire.output.room() >= ANSWER {
            let Some((slot, answer)) = self.ready.pop_front() else { break };
            let Some(work) = self.works.remove(&slot) else { continue };
            let status = self.target.answer(work.tag, outcome(&answer, work.write), &mut out);
            if let (Some(status), Some(key)) = (status, work.key) {
                self.unacknowledged.push_back((status, key));
            }
            wire.output.push(&out);
            out.clear();
        }
    }

    /// Takes in the PDUs that have come, as far as there is room for what they may have us say.
    async fn read(&mut self, wire: &mut Wire) {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        while self.closing.is_none() && wire.output.room() >= ANSWER {
            let full = wire.input.room() == 0;
            match self.target.read(wire.input.contiguous(), &mut out, &mut events) {
                Ok(0) if full => self.closing = Some(Reason::Protocol),
                Ok(0) => break,
                Ok(used) => {
                    wire.input.consume(used);
                    wire.carried += 1;
                }
                Err(_) => self.closing = Some(Reason::Protocol),
            }
            for event in events.drain(..) {
                self.act(event).await;
            }
            wire.output.push(&out);
            out.clear();
        }
    }

    async fn act(&mut self, event: Event) {
        match event {
            Event::LoggedIn { initiator, isid } => {
                // A login under the name of a session that is there takes its place.
                let name: Name = (initiator.into(), isid);
                let entry = (self.own, self.replaced.0.clone());
                if let Some((_, old)) = self.front.sessions.borrow_mut().insert(name.clone(), entry) {
                    old.close();
                }
                self.name = Some(name);
            }
            Event::Read { tag, lun, lba, blocks } => {
                let id = self.front.context.number();
                let request = request(&self.front, lun, lba, blocks, None);
                let ticket = self.begin(Work { tag, write: false, read: Some(id), key: None }, &request);
                self.hand_over(ticket, request, |front, request, ticket| {
                    front.context.module.try_send(Mail::Take(id, request, ticket)).is_ok()
                });
            }
            Event::Write { tag, lun, lba, data } => {
                let (initiator, isid) = self.name.clone().unwrap_or_default();
                let mut digest = DefaultHasher::new();
                (lun, lba, &data).hash(&mut digest);
                let key = (initiator, isid, tag, digest.finish());
                let blocks = (data.len() / iscsi::BLOCK) as u32;
                let request = request(&self.front, lun, lba, blocks, Some(Bytes::from(data)));
                let work = Work { tag, write: true, read: None, key: Some(key.clone()) };
                let ticket = self.begin(work, &request);
                self.hand_over(ticket, request, |front, request, ticket| {
                    front.record.try_send(Note::Begin(key, request, ticket)).is_ok()
                });
            }
            Event::Aborted(tag) => {
                let slot = self.works.iter().find(|(_, w)| w.tag == tag).map(|(s, _)| *s);
                if let Some(id) = slot.and_then(|s| self.works.remove(&s)).and_then(|w| w.read) {
                    let _ = self.front.context.module.send(Mail::Left(id)).await;
                }
            }
            Event::Acknowledged(upto) => {
                // Numbers wrap round: a half of them counts as before.
                let before = |n: u32| upto.wrapping_sub(n).wrapping_sub(1) < 1 << 31;
                while self.unacknowledged.front().is_some_and(|(n, _)| before(*n)) {
                    let Some((_, key)) = self.unacknowledged.pop_front() else { break };
                    let _ = self.front.record.send(Note::Acknowledged(key)).await;
                }
            }
            Event::Close => self.closing = Some(Reason::Done),
        }
    }

    fn begin(&mut self, work: Work, request: &Option<Request>) -> Ticket {
        let class = request.as_ref().map_or(0, |r| r.class);
        let slot = self.next;
        self.next += 1;
        self.works.insert(slot, work);
        Ticket { slot, to: self.answers.clone(), class }
    }

    /// Hands a request over; where that can't be done it did not run, and has its answer at once.
    fn hand_over(
        &mut self,
        ticket: Ticket,
        request: Option<Request>,
        over: impl FnOnce(&Front, Request, Ticket) -> bool,
    ) {
        let slot = ticket.slot;
        let answer = match request {
            None => Answer::Failed("not in the configuration"),
            Some(request) => {
                if over(&self.front, request, ticket) {
                    return;
                }
                Answer::Refused(None)
            }
        };
        self.ready.push_back((slot, answer));
    }

    /// Whether the session is to end now, and why.
    fn ends(&self, wire: &Wire, begun: Micros) -> Option<Reason> {
        let context = &self.front.context;
        let (now, written) = (context.clock.now(), wire.output.is_empty());
        if written && self.closing.is_some() {
            return self.closing;
        }
        if written && self.ready.is_empty() && !self.target.busy() && context.lingered() {
            return Some(Reason::Stopped);
        }
        // Guards sessions against connections that never log in.
        let login = (context.config().clients.command_s * 1e6) as i64;
        (self.name.is_none() && now.0 - begun.0 >= login).then_some(Reason::Idle)
    }

    /// Why the session is to end where neither a half PDU nor what waits to be read has gone on in time.
    // Guards memory and descriptors, as it does on the other front.
    fn stands_still(&self, wire: &Wire, went_on: &mut (u64, u64, Micros)) -> Option<Reason> {
        let (now, clients) = (self.front.context.clock.now(), self.front.context.config().clients);
        let nothing = wire.input.is_empty() && wire.output.is_empty();
        if nothing || (went_on.0, went_on.1) != (wire.carried, wire.written) {
            *went_on = (wire.carried, wire.written, now);
        }
        let (limit, reason) = match wire.output.is_empty() {
            true => (clients.command_s, Reason::Protocol),
            false => (clients.unread_s, Reason::Unread),
        };
        (now.0 - went_on.2 .0 >= (limit * 1e6) as i64).then_some(reason)
    }

    async fn end(self) {
        if let Some(name) = &self.name {
            let mut sessions = self.front.sessions.borrow_mut();
            if sessions.get(name).is_some_and(|s| s.0 == self.own) {
                sessions.remove(name);
            }
        }
        // Reads nobody waits for any more; a write goes on, and its result is on the record.
        for id in self.works.values().filter_map(|w| w.read) {
            let _ = self.front.context.module.send(Mail::Left(id)).await;
        }
    }
}

enum Woken {
    Answer(Option<(u64, Answer)>),
    Moved,
    Tick,
    MakeRoom,
    End(Reason),
}

async fn session(front: Rc<Front>, stream: Async<TcpStream>, address: SocketAddr) {
    let context = front.context.clone();
    let _count = Count::up(&context, |c| &c.clients);
    let mut wire = Wire::new(stream, "initiator", address, BOUNDS);
    if Rc::strong_count(&front) > SESSIONS + 1 {
        wire.reason = Reason::Bound;
        return;
    }
    let (answers, answered) = async_channel::bounded(ANSWERS);
    let mut answered = Box::pin(answered);
    let mut session = Session::new(front, answers);
    let replaced = session.replaced.1.clone();
    let begun = context.clock.now();
    let seat = Seat::take(&context, (STANDS, STANDS));
    let mut went_on = (0, 0, begun);
    wire.reason = loop {
        session.answer(&mut wire);
        session.read(&mut wire).await;
        if let Some(reason) = session.ends(&wire, begun) {
            break reason;
        }
        if let Some(reason) = session.stands_still(&wire, &mut went_on) {
            break reason;
        }
        let nothing = !session.target.busy() && session.ready.is_empty() && wire.output.is_empty();
        seat.set(match (nothing && wire.input.is_empty(), wire.carried) {
            (true, 0) => Doing::Silent,
            (true, _) if session.name.is_some() => Doing::Idle,
            _ => Doing::Busy,
        });
        // Guards the others: whatever there is to do, each turn is one of many.
        future::yield_now().await;
        let answer = async { Woken::Answer(answered.next().await) };
        let moved = async {
            match wire.next().await {
                Some(Ok(Moved::End)) => Woken::End(Reason::PeerClosed),
                Some(Err(_)) => Woken::End(Reason::Reset),
                _ => Woken::Moved,
            }
        };
        let gone = async {
            let _ = replaced.recv().await;
            Woken::End(Reason::Replaced)
        };
        let tick = async {
            let wait = if context.stopping.get().is_some() { 50 } else { 500 };
            Timer::after(Duration::from_millis(wait)).await;
            Woken::Tick
        };
        let leave = async {
            let _ = seat.asked.recv().await;
            Woken::MakeRoom
        };
        match future::or(future::or(answer, moved), future::or(leave, future::or(gone, tick))).await {
            Woken::Answer(Some(answer)) => session.ready.push_back(answer),
            Woken::Answer(None) | Woken::Moved | Woken::Tick => {}
            Woken::MakeRoom if seat.idle() => break Reason::Idle,
            Woken::MakeRoom => {}
            Woken::End(reason) => break reason,
        }
    };
    session.end().await;
}
