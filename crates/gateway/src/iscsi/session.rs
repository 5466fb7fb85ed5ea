//! The session of an initiator, apart from its connection: submits its reads and writes, and sends their answers as SCSI statuses.
use crate::backend::value::Answer;
use crate::iscsi::request::{outcome, request};
use crate::iscsi::shared::{LoggedIn, Progress, SessionName, TargetContext};
use crate::iscsi::write_record::{RecordMessage, WriteKey};
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

/// The maximum size of one answer on the wire with all its headers, in bytes.
pub const MAX_ANSWER_BYTES: usize = iscsi::MAX_DATA_BYTES + 16 * 1024;

/// An open read or write.
struct Task {
    /// The initiator's task tag.
    tag: u32,
    is_write: bool,
    /// The id of the request, for a read.
    read: Option<RequestId>,
    /// The key in the record of writes, for a write.
    key: Option<WriteKey>,
}

/// The state of one session.
pub struct Session {
    shared: Rc<TargetContext>,
    /// The state machine of the protocol.
    pub target: Target,
    /// Distinguishes sessions of the same name.
    number: u64,
    /// The session's identity, once it is logged in.
    pub name: Option<SessionName>,
    /// A channel that is closed when another session replaces this one.
    pub replaced: (Sender<()>, Receiver<()>),
    answers: Sender<(u64, Answer)>,
    tasks: BTreeMap<u64, Task>,
    next_task: u64,
    /// Answers that are to be sent, with the numbers of their tasks.
    pub ready_answers: VecDeque<(u64, Answer)>,
    /// Writes whose status the initiator has not acknowledged, with its StatSN.
    unacknowledged: VecDeque<(u32, WriteKey)>,
    closing: Option<CloseReason>,
}

impl Session {
    /// Creates a session that is not logged in yet. `answers` receives the final answers, each with the number of its task.
    pub fn new(shared: Rc<TargetContext>, answers: Sender<(u64, Answer)>) -> Session {
        Session {
            target: Target::new(shared.description.clone(), shared.context.next_session_number()),
            number: shared.context.next_request_id().0,
            name: None,
            replaced: async_channel::bounded(1),
            answers,
            tasks: BTreeMap::new(),
            next_task: 0,
            ready_answers: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            closing: None,
            shared,
        }
    }

    /// Encodes the answers that are ready while the output buffer has room.
    pub fn send_answers(&mut self, stream: &mut Connection) {
        let mut out = Vec::new();
        while stream.output.remaining() >= MAX_ANSWER_BYTES {
            let Some((number, answer)) = self.ready_answers.pop_front() else { break };
            // The task may have been aborted before its answer arrived.
            let Some(task) = self.tasks.remove(&number) else { continue };
            let status = self.target.complete(task.tag, outcome(&answer, task.is_write), &mut out);
            if let (Some(status), Some(key)) = (status, task.key) {
                self.unacknowledged.push_back((status, key));
            }
            stream.output.push(&out);
            out.clear();
        }
    }

    /// Handles the PDUs that have arrived while the output buffer has room for their answers.
    pub async fn read(&mut self, stream: &mut Connection) {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        while self.closing.is_none() && stream.output.remaining() >= MAX_ANSWER_BYTES {
            let is_full = stream.input.remaining() == 0;
            match self.target.read(stream.input.contiguous(), &mut out, &mut events) {
                Ok(0) if is_full => self.closing = Some(CloseReason::Protocol),
                Ok(0) => break,
                Ok(used) => {
                    stream.input.consume(used);
                    stream.exchange_count += 1;
                }
                Err(_) => self.closing = Some(CloseReason::Protocol),
            }
            for event in events.drain(..) {
                self.handle(event).await;
            }
            stream.output.push(&out);
            out.clear();
        }
    }

    async fn handle(&mut self, event: Event) {
        match event {
            Event::LoggedIn { initiator, isid } => {
                self.log_in(SessionName { initiator: initiator.into(), isid })
            }
            Event::Read { tag, lun, lba, blocks } => self.begin_read(tag, lun, lba, blocks),
            Event::Write { tag, lun, lba, data } => self.begin_write(tag, lun, lba, data),
            Event::Aborted(tag) => {
                let number = self.tasks.iter().find(|(_, task)| task.tag == tag).map(|(number, _)| *number);
                let task = number.and_then(|number| self.tasks.remove(&number));
                if let Some(id) = task.and_then(|task| task.read) {
                    // The mailbox is closed only at the end of the process.
                    drop(self.shared.scheduler.send(SchedulerMessage::ClientLeft(id)).await);
                }
            }
            Event::Acknowledged(end) => self.acknowledge(end).await,
            Event::Close => self.closing = Some(CloseReason::Done),
        }
    }

    /// Registers the session, replacing an earlier one of the same name.
    fn log_in(&mut self, name: SessionName) {
        let entry = LoggedIn { number: self.number, replaced: self.replaced.0.clone() };
        if let Some(earlier) = self.shared.sessions.borrow_mut().insert(name.clone(), entry) {
            earlier.replaced.close();
        }
        self.name = Some(name);
    }

    fn begin_read(&mut self, tag: u32, lun: u8, lba: u64, blocks: u32) {
        let id = self.shared.context.next_request_id();
        let request = request(&self.shared.context, &self.shared.iscsi, lun, lba, blocks, None);
        let task = Task { tag, is_write: false, read: Some(id), key: None };
        self.submit(task, request, |shared, request, ticket| {
            shared.scheduler.try_send(SchedulerMessage::Submit(id, request, ticket)).is_ok()
        });
    }

    fn begin_write(&mut self, tag: u32, lun: u8, lba: u64, data: Vec<u8>) {
        let mut digest = DefaultHasher::new();
        (lun, lba, &data).hash(&mut digest);
        let session = self.name.clone().unwrap_or_default();
        let key = WriteKey { session, tag, digest: digest.finish() };
        let blocks = (data.len() / iscsi::BLOCK_BYTES) as u32;
        let body = Some(Bytes::from(data));
        let request = request(&self.shared.context, &self.shared.iscsi, lun, lba, blocks, body);
        let task = Task { tag, is_write: true, read: None, key: Some(key.clone()) };
        self.submit(task, request, |shared, request, ticket| {
            shared.record.try_send(RecordMessage::Begin(key, request, ticket)).is_ok()
        });
    }

    /// Reports the writes whose status the initiator has received, those with a StatSN below `end`, to the record.
    async fn acknowledge(&mut self, end: u32) {
        // Serial number arithmetic (RFC 1982): the half of the number space that precedes `end` is before it.
        let is_before = |number: u32| end.wrapping_sub(number).wrapping_sub(1) < 1 << 31;
        while self.unacknowledged.front().is_some_and(|(number, _)| is_before(*number)) {
            let Some((_, key)) = self.unacknowledged.pop_front() else { break };
            // The mailbox is closed only at the end of the process.
            drop(self.shared.record.send(RecordMessage::Acknowledged(key)).await);
        }
    }

    /// Submits a task's request with `try_submit`. Where that returns false for lack of room, nothing was executed, and the task is
    /// rejected at once.
    fn submit(
        &mut self,
        task: Task,
        request: Option<Request>,
        try_submit: impl FnOnce(&TargetContext, Request, Ticket) -> bool,
    ) {
        let number = self.next_task;
        self.next_task += 1;
        self.tasks.insert(number, task);
        let Some(request) = request else {
            return self.ready_answers.push_back((number, Answer::Failed("not in the configuration")));
        };
        let ticket = Ticket { slot: number, to: self.answers.clone(), class: request.class };
        if !try_submit(&self.shared, request, ticket) {
            self.ready_answers.push_back((number, Answer::Rejected(None)));
        }
    }

    /// Returns why the connection is to be closed now, if it is.
    pub fn close_reason(&self, stream: &Connection, connected_at: Micros) -> Option<CloseReason> {
        let context = &self.shared.context;
        let is_written = stream.output.is_empty();
        if is_written && self.closing.is_some() {
            return self.closing;
        }
        let is_idle = is_written && self.ready_answers.is_empty() && !self.target.is_busy();
        if is_idle && context.closes_between_requests() {
            return Some(CloseReason::Stopped);
        }
        let now = context.clock.now();
        // Connections that never log in would use up the session limit.
        let login_timeout_us = (context.config().clients.command_s * 1e6) as i64;
        (self.name.is_none() && now.0 - connected_at.0 >= login_timeout_us).then_some(CloseReason::Idle)
    }

    /// Returns why the connection is to be closed if an incomplete PDU or unread answers made no progress in time. Updates `progress`.
    pub fn stall_reason(&self, stream: &Connection, progress: &mut Progress) -> Option<CloseReason> {
        let (now, clients) = (self.shared.context.clock.now(), self.shared.context.config().clients);
        let is_quiet = stream.input.is_empty() && stream.output.is_empty();
        if is_quiet
            || (progress.exchange_count, progress.bytes_written)
                != (stream.exchange_count, stream.bytes_written)
        {
            *progress = Progress {
                exchange_count: stream.exchange_count,
                bytes_written: stream.bytes_written,
                at: now,
            };
        }
        let (timeout_s, reason) = if stream.output.is_empty() {
            (clients.command_s, CloseReason::Protocol)
        } else {
            (clients.unread_s, CloseReason::Unread)
        };
        (now.0 - progress.at.0 >= (timeout_s * 1e6) as i64).then_some(reason)
    }

    /// Ends the session: cancels its reads, and notifies the record that it no longer waits for its writes.
    pub async fn end(self) {
        if let Some(name) = &self.name {
            let mut sessions = self.shared.sessions.borrow_mut();
            if sessions.get(name).is_some_and(|session| session.number == self.number) {
                sessions.remove(name);
            }
        }
        // The closed channel shows the record that this session no longer waits.
        self.answers.close();
        for task in self.tasks.into_values() {
            // A write that has begun continues, and its result is recorded. The mailboxes are closed only at the end of the process.
            match (task.read, task.key) {
                (Some(id), _) => drop(self.shared.scheduler.send(SchedulerMessage::ClientLeft(id)).await),
                (None, Some(key)) => drop(self.shared.record.send(RecordMessage::SessionEnded(key)).await),
                (None, None) => {}
            }
        }
    }
}
