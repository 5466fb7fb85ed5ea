//! A client of the platform's front, without its connection: commands in, answers out in their order.
use crate::backend::value::Answer;
use crate::client::arrival_times::Arrivals;
use crate::client::command::{understand, Asked};
use crate::client::connection_slots::{ConnectionSlot, Doing};
use crate::client::response::{worded, Reply, Waiting};
use crate::context::Context;
use crate::counts::Weight;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use crate::scatter_gather::handle::{Begin, Owed};
use async_channel::Sender;
use dispatch::Request;
use ring_buffer::Ring;
use scheduler::interface::{Micros, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;

/// What a ring takes in any case.
const SMALL: usize = 4096;
/// Commands of one connection that may be unanswered.
pub const PIPELINE: usize = 128;
/// A connection that comes while the others are closed has so long to bring its request.
const CROSSED: i64 = 200_000;
/// How often a connection is looked at while the program ends, or while there is no room to read its end.
const LOOK: i64 = 50_000;
/// Commands that one connection has understood in one turn; then the others have theirs.
const TURN: usize = 16;

/// The place of one command in the order of answers.
pub struct Slot {
    /// Its request, where the core has one.
    pub id: Option<RequestId>,
    /// Whether its answer is gathered from parts.
    pub gathers: bool,
    /// Its answer, once that is there.
    pub reply: Option<Waiting>,
}

/// A client's side toward the core, without its connection.
pub struct Client {
    pub context: Rc<Context>,
    pub scheduler: SchedulerMailbox,
    /// Whether it came beyond the bound: it is answered with a refusal and closed, which guards the descriptors.
    pub beyond: bool,
    pub answers: Sender<(u64, Answer)>,
    /// Commands whose answers are not written yet, in order, and the number of the first.
    pub slots: VecDeque<Slot>,
    pub first: u64,
    pub closing: Option<CloseReason>,
    pub slot: ConnectionSlot,
    /// What its rings count for.
    pub rings: Weight,
    pub came: Micros,
    /// When what is read has come.
    pub arrivals: Arrivals,
    /// When the command that is being read must be whole.
    pub whole_by: Option<Micros>,
    /// What was written when it last went on, and when that was.
    pub went_on: (u64, Micros),
    /// Its side toward answers that are gathered, where there are any.
    pub gathers: Option<Owed>,
}

impl Client {
    fn push(&mut self, id: Option<RequestId>, reply: Option<Reply>) {
        let reply = reply.map(|r| Waiting::new(&self.context, r));
        self.slots.push_back(Slot { id, gathers: false, reply });
    }

    /// Takes in the commands that have come, as many as may be unanswered and as one turn allows; tells whether it
    /// was the turn that ended it.
    pub fn read(&mut self, stream: &mut Connection) -> bool {
        self.arrivals.note(stream.read, stream.input.room() > 0, self.context.clock.now());
        let mut left = TURN;
        while self.closing.is_none() && self.slots.len() < PIPELINE {
            // Guards the others against one that sends as fast as it can.
            if left == 0 {
                return true;
            }
            left -= 1;
            let now = self.context.clock.now();
            let room = stream.input.room() > 0;
            let fault = match resp::command(stream.input.contiguous()) {
                Ok(Some((words, used))) => {
                    let came = self.arrivals.of_next(used).unwrap_or(now);
                    let asked = understand(&self.context, &words, came);
                    stream.input.consume(used);
                    self.arrivals.use_up(used);
                    stream.carried += 1;
                    self.whole_by = None;
                    self.take(asked);
                    continue;
                }
                // Each command that has come is refused, and then it ends.
                Ok(None) if self.beyond && stream.carried > 0 => {
                    self.closing = Some(CloseReason::Bound);
                    return false;
                }
                Ok(None) if room => {
                    if stream.input.is_empty() && stream.carried > 0 {
                        self.whole_by = None;
                    } else if self.whole_by.is_none() {
                        self.whole_by = Some(Micros(now.0 + self.limits().0));
                    }
                    // Guards memory against many large halves.
                    if stream.input.memory() > SMALL && self.context.rings_full() {
                        self.push(None, Some(Reply::text("-ERR too much is half there\r\n")));
                        self.closing = Some(CloseReason::Bound);
                        return false;
                    }
                    // Guards descriptors and memory: silent connections, and commands that stay halves.
                    if self.whole_by.is_none_or(|by| now < by) {
                        return false;
                    }
                    if stream.input.is_empty() {
                        self.closing = Some(CloseReason::Idle);
                        return false;
                    }
                    "the command was not whole in time"
                }
                Ok(None) => "too long",
                Err(e) => e.0,
            };
            self.push(None, Some(Reply::text(format!("-ERR Protocol error: {fault}\r\n"))));
            self.closing = Some(CloseReason::Protocol);
        }
        false
    }

    /// Refuses a request that the module is not told of.
    fn refuse(&mut self, class: usize) {
        self.context.counters.answer(class, 1);
        self.push(None, Some(worded(Answer::Rejected(None))));
    }

    /// How long a command may take to be whole, and how long answers may wait unread.
    fn limits(&self) -> (i64, i64) {
        let clients = self.context.config().clients;
        ((clients.command_s * 1e6) as i64, (clients.unread_s * 1e6) as i64)
    }

    /// Tells the others what the connection does, and when it is to be looked at again.
    pub fn settle(&mut self, stream: &Connection) -> Micros {
        let now = self.context.clock.now();
        let nothing = self.slots.is_empty() && stream.output.is_empty() && stream.input.is_empty();
        self.slot.set(match (nothing, stream.carried) {
            (true, 0) => Doing::Silent,
            (true, _) => Doing::Idle,
            _ => Doing::Busy,
        });
        let beyond = |ring: &Ring| ring.memory().saturating_sub(SMALL);
        self.rings.set(beyond(&stream.input) + beyond(&stream.output));
        if stream.output.is_empty() || stream.written != self.went_on.0 {
            self.went_on = (stream.written, now);
        }
        let unread = (!stream.output.is_empty()).then_some(Micros(self.went_on.1 .0 + self.limits().1));
        let looks = self.context.lifecycle.stopping.get().is_some() || stream.input.room() == 0;
        let waits = if looks { LOOK } else { 20_000_000 };
        let ends = [self.whole_by.filter(|_| self.closing.is_none()), unread];
        let next = ends.into_iter().flatten().min().unwrap_or(Micros(i64::MAX));
        next.min(Micros(now.0 + waits))
    }

    fn take(&mut self, asked: Asked) {
        match asked {
            Asked::Now(reply) => self.push(None, Some(Reply::text(reply))),
            Asked::Request(request) if self.beyond => self.refuse(request.class),
            Asked::Request(request) => {
                let Some(request) = self.gather(request) else { return };
                let (id, class) = (self.context.number(), request.class);
                let slot = self.first + self.slots.len() as u64;
                let ticket = Ticket { slot, to: self.answers.clone(), class };
                match self.scheduler.try_send(SchedulerMessage::Take(id, request, ticket)) {
                    Ok(()) => self.push(Some(id), None),
                    Err(_) => self.refuse(class),
                }
            }
        }
    }

    /// Hands a request over that is gathered from parts; gives any other back.
    fn gather(&mut self, request: Request) -> Option<Request> {
        let policy = self.gathers.as_ref().and_then(|o| o.gathering.policy(&self.context.config(), &request));
        let (Some(owed), Some(policy)) = (&self.gathers, policy) else { return Some(request) };
        let (id, class) = (self.context.number(), request.class);
        let slot = self.first + self.slots.len() as u64;
        let begin = Begin { id, policy, request, slot, to: owed.answers.0.clone() };
        match owed.gathering.begin(begin) {
            true => self.slots.push_back(Slot { id: Some(id), gathers: true, reply: None }),
            false => self.refuse(class),
        }
        None
    }

    /// Takes an answer that was gathered.
    pub fn gathered(&mut self, slot: u64, reply: Reply) {
        let reply = Waiting::new(&self.context, reply);
        let endpoint = slot.checked_sub(self.first).and_then(|n| self.slots.get_mut(n as usize));
        if let Some(slot) = endpoint {
            slot.reply = Some(reply);
        }
    }

    /// Whether the connection is to end now, and why.
    pub fn ends(&self, stream: &Connection) -> Option<CloseReason> {
        let context = &self.context;
        let now = context.clock.now();
        if self.slots.is_empty() && stream.output.is_empty() {
            if self.closing.is_some() {
                return self.closing;
            }
            // One that has just come brings a request that crossed the closing of another.
            let brings = stream.carried == 0 && now.0 < self.came.0 + CROSSED;
            if stream.input.is_empty() && context.lingered() && !brings {
                return Some(CloseReason::Stopped);
            }
        }
        // Guards memory and descriptors against clients that ask and do not read.
        (!stream.output.is_empty()
            && stream.written == self.went_on.0
            && now.0 - self.went_on.1 .0 >= self.limits().1)
            .then_some(CloseReason::Unread)
    }
}
