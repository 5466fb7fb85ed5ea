//! The session of one RESP2 client, apart from its connection: executes commands and queues the responses in the order of the commands.
use crate::backend::value::Answer;
use crate::client::arrival_times::ArrivalTimes;
use crate::client::command::parse;
use crate::client::connection_slots::{Activity, ConnectionSlot};
use crate::client::response::{EncodedResponse, PendingResponse, Progress, Slot};
use crate::context::Context;
use crate::counts::Weight;
use crate::messages::SchedulerMailbox;
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use crate::scatter_gather::handle::GatherClient;
use async_channel::Sender;
use ring_buffer::RingBuffer;
use scheduler::interface::{Micros, RequestId};
use std::collections::VecDeque;
use std::rc::Rc;

/// The part of a ring buffer's memory that is not counted against the limit, in bytes.
const UNCOUNTED_RING_BYTES: usize = 4096;
/// The maximum number of unanswered commands of one connection.
pub const MAX_PIPELINED_COMMANDS: usize = 128;
/// The maximum number of commands of one connection that are parsed before other connections get their turn.
const COMMANDS_PER_TURN: usize = 16;
/// How long a connection that was accepted during the shutdown may take to send its first request, in microseconds.
const FIRST_REQUEST_GRACE_US: i64 = 200_000;
/// How often a session is checked while its input buffer is full, so that a disconnect of the client can't be read, in microseconds.
const FULL_INPUT_CHECK_US: i64 = 20_000;
/// How often a session is checked while the process shuts down, in microseconds.
const SHUTDOWN_CHECK_US: i64 = 50_000;
/// How often a session is checked otherwise, in microseconds.
const RARE_CHECK_US: i64 = 20_000_000;

/// The state of one client's session.
pub struct Session {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// The scheduler's mailbox.
    pub scheduler: SchedulerMailbox,
    /// Whether the connection exceeds the connection limit: its commands are rejected, and it is closed.
    pub is_over_limit: bool,
    /// Receives the final answers, each with the number of its slot.
    pub answers: Sender<(u64, Answer)>,
    /// Commands whose responses are not sent completely, in order.
    pub slots: VecDeque<Slot>,
    /// The number of the first slot in `slots`.
    pub first_slot: u64,
    /// Why the connection will be closed once all responses are sent, if it will.
    pub closing: Option<CloseReason>,
    /// The connection's slot in the table of connections.
    pub slot: ConnectionSlot,
    /// The memory of the connection's ring buffers that is counted against the limit.
    pub ring_weight: Weight,
    /// When the connection was accepted.
    pub connected_at: Micros,
    /// Arrival times of unread bytes.
    pub arrivals: ArrivalTimes,
    /// The deadline by which the command that is being received must be complete.
    pub command_deadline: Option<Micros>,
    /// When bytes of a response were last written.
    pub last_progress: Progress,
    /// The session's client of the scatter-gather actor, if there is one.
    pub gather_client: Option<GatherClient>,
}

impl Session {
    pub(super) fn push(&mut self, id: Option<RequestId>, response: Option<EncodedResponse>) {
        let response = response.map(|response| PendingResponse::new(&self.context, response));
        self.slots.push_back(Slot { id, is_gathered: false, response });
    }

    /// Parses and executes the commands that have arrived, within the limits on unanswered commands and on commands per turn. Returns
    /// true if the limit per turn was reached.
    pub fn read_commands(&mut self, stream: &mut Connection) -> bool {
        self.arrivals.record(stream.bytes_read, stream.input.remaining() > 0, self.context.clock.now());
        let mut remaining_commands = COMMANDS_PER_TURN;
        while self.closing.is_none() && self.slots.len() < MAX_PIPELINED_COMMANDS {
            if remaining_commands == 0 {
                return true;
            }
            remaining_commands -= 1;
            let now = self.context.clock.now();
            let has_room = stream.input.remaining() > 0;
            let error = match resp::command(stream.input.contiguous()) {
                Ok(Some((args, used))) => {
                    let arrived = self.arrivals.arrival_of_next(used).unwrap_or(now);
                    let command = parse(&self.context, &args, arrived);
                    stream.input.consume(used);
                    self.arrivals.consume(used);
                    stream.exchange_count += 1;
                    self.command_deadline = None;
                    self.execute(command);
                    continue;
                }
                // Above the connection limit, the commands that have arrived are rejected before the connection is closed.
                Ok(None) if self.is_over_limit && stream.exchange_count > 0 => {
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

    /// Applies the time and memory limits to a command that has not arrived completely. Returns an error if the command took too long.
    fn check_incomplete_command(&mut self, stream: &Connection, now: Micros) -> Option<&'static str> {
        if stream.input.is_empty() && stream.exchange_count > 0 {
            self.command_deadline = None;
        } else if self.command_deadline.is_none() {
            self.command_deadline = Some(Micros(now.0 + self.command_timeout_us()));
        }
        // Many large incomplete commands would exhaust the memory.
        if stream.input.allocated() > UNCOUNTED_RING_BYTES && self.context.are_rings_full() {
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

    /// How long a command may take to arrive, in microseconds.
    fn command_timeout_us(&self) -> i64 {
        (self.context.config().clients.command_s * 1e6) as i64
    }

    /// How long responses may stay unread by the client, in microseconds.
    fn unread_timeout_us(&self) -> i64 {
        (self.context.config().clients.unread_s * 1e6) as i64
    }

    /// Updates the connection's activity and memory usage. Returns the time of the next check of the session.
    pub fn update_activity(&mut self, stream: &Connection) -> Micros {
        let now = self.context.clock.now();
        let is_quiet = self.slots.is_empty() && stream.output.is_empty() && stream.input.is_empty();
        self.slot.set_activity(match (is_quiet, stream.exchange_count) {
            (true, 0) => Activity::Silent,
            (true, _) => Activity::Idle,
            _ => Activity::Busy,
        });
        let counted = |ring: &RingBuffer| ring.allocated().saturating_sub(UNCOUNTED_RING_BYTES);
        self.ring_weight.set(counted(&stream.input) + counted(&stream.output));
        if stream.output.is_empty() || stream.bytes_written != self.last_progress.bytes_written {
            self.last_progress = Progress { bytes_written: stream.bytes_written, at: now };
        }
        let unread_deadline =
            (!stream.output.is_empty()).then_some(Micros(self.last_progress.at.0 + self.unread_timeout_us()));
        let check_us = if stream.input.remaining() == 0 {
            FULL_INPUT_CHECK_US
        } else if self.context.lifecycle.stopping_since.get().is_some() {
            SHUTDOWN_CHECK_US
        } else {
            RARE_CHECK_US
        };
        let deadlines = [self.command_deadline.filter(|_| self.closing.is_none()), unread_deadline];
        let next_deadline = deadlines.into_iter().flatten().min().unwrap_or(Micros(i64::MAX));
        next_deadline.min(Micros(now.0 + check_us))
    }

    /// Returns why the connection is to be closed now, if it is.
    pub fn close_reason(&self, stream: &Connection) -> Option<CloseReason> {
        let now = self.context.clock.now();
        if self.slots.is_empty() && stream.output.is_empty() {
            if self.closing.is_some() {
                return self.closing;
            }
            // A new connection may bring a request that the client resends because it had sent it on a connection that was being closed.
            let awaits_request =
                stream.exchange_count == 0 && now.0 < self.connected_at.0 + FIRST_REQUEST_GRACE_US;
            if stream.input.is_empty() && self.context.closes_between_requests() && !awaits_request {
                return Some(CloseReason::Stopped);
            }
        }
        // Clients that send requests without reading the responses would exhaust memory and descriptors.
        let is_stalled =
            !stream.output.is_empty() && stream.bytes_written == self.last_progress.bytes_written;
        let is_unread = is_stalled && now.0 - self.last_progress.at.0 >= self.unread_timeout_us();
        is_unread.then_some(CloseReason::Unread)
    }
}
