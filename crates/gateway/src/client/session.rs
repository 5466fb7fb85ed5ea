//! The session of one RESP2 client, without its connection: commands in, responses out in the order of the commands.
use crate::backend::value::Answer;
use crate::client::arrival_times::ArrivalTimes;
use crate::client::command::{parse, Command};
use crate::client::connection_slots::{Activity, ConnectionSlot};
use crate::client::response::{encode, EncodedResponse, PendingResponse, Progress, Slot};
use crate::context::Context;
use crate::counters::AnswerKind;
use crate::counts::Weight;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use crate::scatter_gather::handle::{Begin, GatherClient};
use async_channel::Sender;
use dispatch::Request;
use ring_buffer::RingBuffer;
use scheduler::interface::{Micros, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;

/// The memory of a ring buffer that is not counted against the limit, in bytes.
const UNCOUNTED_RING_BYTES: usize = 4096;
/// Commands of one connection that may be unanswered.
pub const PIPELINE: usize = 128;
/// Commands of one connection that are parsed before other connections have their turn.
const COMMANDS_PER_TURN: usize = 16;
/// How long a connection that was accepted during the shutdown has for its first request, in microseconds.
const FIRST_REQUEST_GRACE_US: i64 = 200_000;
/// How often a session is checked while the process shuts down, or while its input is full and the client's end can't be read, in
/// microseconds.
const FREQUENT_CHECK_US: i64 = 50_000;
/// How often it is checked otherwise, in microseconds.
const RARE_CHECK_US: i64 = 20_000_000;

/// The state of one client's session.
pub struct Session {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// The scheduler's mailbox.
    pub scheduler: SchedulerMailbox,
    /// Whether the connection is over the limit: its commands are rejected, and it is closed.
    pub is_over_limit: bool,
    /// Receives the final answers, each with the number of its slot.
    pub answers: Sender<(u64, Answer)>,
    /// Commands whose responses are not sent yet, in order.
    pub slots: VecDeque<Slot>,
    /// The number of the first slot.
    pub first: u64,
    /// Why the connection will be closed once all responses are sent.
    pub closing: Option<CloseReason>,
    /// The connection's slot in the table of connections.
    pub slot: ConnectionSlot,
    /// The memory of its ring buffers, as counted against the limit.
    pub rings: Weight,
    /// When the connection was accepted.
    pub connected_at: Micros,
    /// Arrival times of unread bytes.
    pub arrivals: ArrivalTimes,
    /// By when the command that is being received must be complete.
    pub command_deadline: Option<Micros>,
    /// When a response last made progress.
    pub last_progress: Progress,
    /// The session's side of the scatter-gather actor, where there is one.
    pub gathers: Option<GatherClient>,
}

impl Session {
    fn push(&mut self, id: Option<RequestId>, response: Option<EncodedResponse>) {
        let response = response.map(|response| PendingResponse::new(&self.context, response));
        self.slots.push_back(Slot { id, is_gathered: false, response });
    }

    /// Parses the commands that have arrived, as many as may be unanswered and as one turn allows. Returns true where the turn's
    /// limit ended it.
    pub fn read_commands(&mut self, stream: &mut Connection) -> bool {
        self.arrivals.record(stream.read, stream.input.remaining() > 0, self.context.clock.now());
        let mut left = COMMANDS_PER_TURN;
        while self.closing.is_none() && self.slots.len() < PIPELINE {
            if left == 0 {
                return true;
            }
            left -= 1;
            let now = self.context.clock.now();
            let has_room = stream.input.remaining() > 0;
            let error = match resp::command(stream.input.contiguous()) {
                Ok(Some((words, used))) => {
                    let arrived = self.arrivals.of_next(used).unwrap_or(now);
                    let command = parse(&self.context, &words, arrived);
                    stream.input.consume(used);
                    self.arrivals.consume(used);
                    stream.carried += 1;
                    self.command_deadline = None;
                    self.execute(command);
                    continue;
                }
                // Over the limit, all commands that have arrived are rejected before the connection is closed.
                Ok(None) if self.is_over_limit && stream.carried > 0 => {
                    self.closing = Some(CloseReason::Bound);
                    return false;
                }
                Ok(None) if has_room => match self.check_incomplete_command(stream, now) {
                    Some(error) => error.to_string(),
                    None => return false,
                },
                Ok(None) => "too long".to_string(),
                Err(error) => error.to_string(),
            };
            self.push(None, Some(EncodedResponse::bytes(format!("-ERR Protocol error: {error}\r\n"))));
            self.closing = Some(CloseReason::Protocol);
        }
        false
    }

    /// Applies the time and memory limits to a command that has not arrived completely. Returns the error of one that took too long.
    fn check_incomplete_command(&mut self, stream: &Connection, now: Micros) -> Option<&'static str> {
        if stream.input.is_empty() && stream.carried > 0 {
            self.command_deadline = None;
        } else if self.command_deadline.is_none() {
            self.command_deadline = Some(Micros(now.0 + self.command_timeout_us()));
        }
        // Many large incomplete commands would fill the memory.
        if stream.input.allocated() > UNCOUNTED_RING_BYTES && self.context.rings_full() {
            self.push(None, Some(EncodedResponse::bytes("-ERR too much is half there\r\n")));
            self.closing = Some(CloseReason::Bound);
            return None;
        }
        if self.command_deadline.is_none_or(|deadline| now < deadline) {
            return None;
        }
        if stream.input.is_empty() {
            self.closing = Some(CloseReason::Idle);
            return None;
        }
        Some("the command was not whole in time")
    }

    /// Rejects a request that the scheduler does not get to see.
    fn reject(&mut self, class: usize) {
        self.context.counters.answer(class, AnswerKind::Rejected);
        self.push(None, Some(encode(Answer::Rejected(None))));
    }

    /// How long a command may take to arrive, in microseconds.
    fn command_timeout_us(&self) -> i64 {
        (self.context.config().clients.command_s * 1e6) as i64
    }

    /// How long responses may wait unread, in microseconds.
    fn unread_timeout_us(&self) -> i64 {
        (self.context.config().clients.unread_s * 1e6) as i64
    }

    /// Updates the connection's activity and memory. Returns when the session is to be checked again.
    pub fn update_activity(&mut self, stream: &Connection) -> Micros {
        let now = self.context.clock.now();
        let is_quiet = self.slots.is_empty() && stream.output.is_empty() && stream.input.is_empty();
        self.slot.set_activity(match (is_quiet, stream.carried) {
            (true, 0) => Activity::Silent,
            (true, _) => Activity::Idle,
            _ => Activity::Busy,
        });
        let counted = |ring: &RingBuffer| ring.allocated().saturating_sub(UNCOUNTED_RING_BYTES);
        self.rings.set(counted(&stream.input) + counted(&stream.output));
        if stream.output.is_empty() || stream.written != self.last_progress.written {
            self.last_progress = Progress { written: stream.written, at: now };
        }
        let unread_deadline =
            (!stream.output.is_empty()).then_some(Micros(self.last_progress.at.0 + self.unread_timeout_us()));
        let is_frequent = self.context.lifecycle.stopping.get().is_some() || stream.input.remaining() == 0;
        let check_us = if is_frequent { FREQUENT_CHECK_US } else { RARE_CHECK_US };
        let deadlines = [self.command_deadline.filter(|_| self.closing.is_none()), unread_deadline];
        let next_deadline = deadlines.into_iter().flatten().min().unwrap_or(Micros(i64::MAX));
        next_deadline.min(Micros(now.0 + check_us))
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Answered(response) => self.push(None, Some(EncodedResponse::bytes(response))),
            Command::Request(request) if self.is_over_limit => self.reject(request.class),
            Command::Request(request) => {
                if let Some(request) = self.gather(request) {
                    self.submit(request);
                }
            }
        }
    }

    /// Hands a request to the scheduler; rejects it where the mailbox is full.
    fn submit(&mut self, request: Request) {
        let (id, class) = (self.context.number(), request.class);
        let slot = self.next_slot();
        let ticket = Ticket { slot, to: self.answers.clone(), class };
        match self.scheduler.try_send(SchedulerMessage::Take(id, request, ticket)) {
            Ok(()) => self.push(Some(id), None),
            Err(_) => self.reject(class),
        }
    }

    fn next_slot(&self) -> u64 {
        self.first + self.slots.len() as u64
    }

    /// Hands a request that is gathered from shards to its actor; returns any other.
    fn gather(&mut self, request: Request) -> Option<Request> {
        let policy = self
            .gathers
            .as_ref()
            .and_then(|gathers| gathers.gathering.policy(&self.context.config(), &request));
        let (Some(gathers), Some(policy)) = (&self.gathers, policy) else { return Some(request) };
        let (id, class) = (self.context.number(), request.class);
        let slot = self.next_slot();
        let begin = Begin { id, policy, request, slot, to: gathers.responses.0.clone() };
        if gathers.gathering.begin(begin) {
            self.slots.push_back(Slot { id: Some(id), is_gathered: true, response: None });
        } else {
            self.reject(class);
        }
        None
    }

    /// Whether the connection is to be closed now, and why.
    pub fn close_reason(&self, stream: &Connection) -> Option<CloseReason> {
        let now = self.context.clock.now();
        if self.slots.is_empty() && stream.output.is_empty() {
            if self.closing.is_some() {
                return self.closing;
            }
            // A new connection may carry a request that crossed the closing of another one.
            let awaits_request = stream.carried == 0 && now.0 < self.connected_at.0 + FIRST_REQUEST_GRACE_US;
            if stream.input.is_empty() && self.context.closes_between_requests() && !awaits_request {
                return Some(CloseReason::Stopped);
            }
        }
        // Clients that send requests and don't read would fill memory and descriptors.
        let is_stalled = !stream.output.is_empty() && stream.written == self.last_progress.written;
        let is_unread = is_stalled && now.0 - self.last_progress.at.0 >= self.unread_timeout_us();
        is_unread.then_some(CloseReason::Unread)
    }
}
