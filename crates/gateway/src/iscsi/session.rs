//! A session of an initiator, without its connection: its reads and writes as requests of the core, and back.
use crate::backend::value::Answer;
use crate::iscsi::request::{outcome, request};
use crate::iscsi::shared::{Front, Name};
use crate::iscsi::write_record::{Key, Note};
use crate::messages::{SchedulerMessage, Ticket};
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use async_channel::{Receiver, Sender};
use dispatch::{Bytes, Request};
use iscsi::target::{Event, Target};
use scheduler::interface::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// What one answer may take on the wire, with all its heads.
pub const ANSWER: usize = iscsi::MAX_DATA_BYTES + 16 * 1024;

/// A read or write that is on its way.
struct Task {
    tag: u32,
    write: bool,
    read: Option<RequestId>,
    key: Option<Key>,
}

/// A session's side toward the core, without its connection.
pub struct Session {
    front: Rc<Front>,
    pub target: Target,
    /// A number of its own among the sessions of one name.
    own: u64,
    pub name: Option<Name>,
    /// Closed once another session takes its place.
    pub replaced: (Sender<()>, Receiver<()>),
    answers: Sender<(u64, Answer)>,
    tasks: BTreeMap<u64, Task>,
    next: u64,
    pub ready: VecDeque<(u64, Answer)>,
    unacknowledged: VecDeque<(u32, Key)>,
    closing: Option<CloseReason>,
}

impl Session {
    pub fn new(front: Rc<Front>, answers: Sender<(u64, Answer)>) -> Session {
        Session {
            target: Target::new(front.shown.clone(), front.context.session()),
            own: front.context.number().0,
            name: None,
            replaced: async_channel::bounded(1),
            answers,
            tasks: BTreeMap::new(),
            next: 0,
            ready: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            closing: None,
            front,
        }
    }

    /// Answers what is ready, as far as there is room.
    pub fn answer(&mut self, stream: &mut Connection) {
        let mut out = Vec::new();
        while stream.output.remaining() >= ANSWER {
            let Some((slot, answer)) = self.ready.pop_front() else { break };
            let Some(work) = self.tasks.remove(&slot) else { continue };
            let status = self.target.complete(work.tag, outcome(&answer, work.write), &mut out);
            if let (Some(status), Some(key)) = (status, work.key) {
                self.unacknowledged.push_back((status, key));
            }
            stream.output.push(&out);
            out.clear();
        }
    }

    /// Takes in the PDUs that have come, as far as there is room for what they may have us say.
    pub async fn read(&mut self, stream: &mut Connection) {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        while self.closing.is_none() && stream.output.remaining() >= ANSWER {
            let full = stream.input.remaining() == 0;
            match self.target.read(stream.input.contiguous(), &mut out, &mut events) {
                Ok(0) if full => self.closing = Some(CloseReason::Protocol),
                Ok(0) => break,
                Ok(used) => {
                    stream.input.consume(used);
                    stream.carried += 1;
                }
                Err(_) => self.closing = Some(CloseReason::Protocol),
            }
            for event in events.drain(..) {
                self.act(event).await;
            }
            stream.output.push(&out);
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
                let request = request(&self.front.context, &self.front.iscsi, lun, lba, blocks, None);
                let ticket = self.begin(Task { tag, write: false, read: Some(id), key: None }, &request);
                self.hand_over(ticket, request, |front, request, ticket| {
                    front.scheduler.try_send(SchedulerMessage::Take(id, request, ticket)).is_ok()
                });
            }
            Event::Write { tag, lun, lba, data } => {
                let (initiator, isid) = self.name.clone().unwrap_or_default();
                let mut digest = DefaultHasher::new();
                (lun, lba, &data).hash(&mut digest);
                let key = (initiator, isid, tag, digest.finish());
                let blocks = (data.len() / iscsi::BLOCK_BYTES) as u32;
                let request = request(
                    &self.front.context,
                    &self.front.iscsi,
                    lun,
                    lba,
                    blocks,
                    Some(Bytes::from(data)),
                );
                let work = Task { tag, write: true, read: None, key: Some(key.clone()) };
                let ticket = self.begin(work, &request);
                self.hand_over(ticket, request, |front, request, ticket| {
                    front.record.try_send(Note::Begin(key, request, ticket)).is_ok()
                });
            }
            Event::Aborted(tag) => {
                let slot = self.tasks.iter().find(|(_, w)| w.tag == tag).map(|(s, _)| *s);
                if let Some(id) = slot.and_then(|s| self.tasks.remove(&s)).and_then(|w| w.read) {
                    let _ = self.front.scheduler.send(SchedulerMessage::Left(id)).await;
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
            Event::Close => self.closing = Some(CloseReason::Done),
        }
    }

    fn begin(&mut self, work: Task, request: &Option<Request>) -> Ticket {
        let class = request.as_ref().map_or(0, |r| r.class);
        let slot = self.next;
        self.next += 1;
        self.tasks.insert(slot, work);
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
                Answer::Rejected(None)
            }
        };
        self.ready.push_back((slot, answer));
    }

    /// Whether the session is to end now, and why.
    pub fn ends(&self, stream: &Connection, begun: Micros) -> Option<CloseReason> {
        let context = &self.front.context;
        let (now, written) = (context.clock.now(), stream.output.is_empty());
        if written && self.closing.is_some() {
            return self.closing;
        }
        if written && self.ready.is_empty() && !self.target.is_busy() && context.lingered() {
            return Some(CloseReason::Stopped);
        }
        // Guards sessions against connections that never log in.
        let login = (context.config().clients.command_s * 1e6) as i64;
        (self.name.is_none() && now.0 - begun.0 >= login).then_some(CloseReason::Idle)
    }

    /// Why the session is to end where neither a half PDU nor what waits to be read has gone on in time.
    // Guards memory and descriptors, as it does on the other front.
    pub fn stands_still(&self, stream: &Connection, went_on: &mut (u64, u64, Micros)) -> Option<CloseReason> {
        let (now, clients) = (self.front.context.clock.now(), self.front.context.config().clients);
        let nothing = stream.input.is_empty() && stream.output.is_empty();
        if nothing || (went_on.0, went_on.1) != (stream.carried, stream.written) {
            *went_on = (stream.carried, stream.written, now);
        }
        let (limit, reason) = match stream.output.is_empty() {
            true => (clients.command_s, CloseReason::Protocol),
            false => (clients.unread_s, CloseReason::Unread),
        };
        (now.0 - went_on.2 .0 >= (limit * 1e6) as i64).then_some(reason)
    }

    pub async fn end(self) {
        if let Some(name) = &self.name {
            let mut sessions = self.front.sessions.borrow_mut();
            if sessions.get(name).is_some_and(|s| s.0 == self.own) {
                sessions.remove(name);
            }
        }
        // The record tells by the closed mailbox that this session waits no more.
        self.answers.close();
        for work in self.tasks.into_values() {
            // A write that has begun goes on, and its result is on the record.
            match (work.read, work.key) {
                (Some(id), _) => drop(self.front.scheduler.send(SchedulerMessage::Left(id)).await),
                (None, Some(key)) => drop(self.front.record.send(Note::Left(key)).await),
                (None, None) => {}
            }
        }
    }
}
