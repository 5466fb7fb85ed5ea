//! The record of iSCSI writes: an actor that lets a write that is reissued after a reconnect join the one that is running, or get its
//! result, so that it never runs twice.
//!
//! A write is known by its initiator, ISID and task tag, and by a digest of what it writes. Its result is kept until the initiator has
//! acknowledged its status, or else for the configured time. A rejected write did not run: it is forgotten, and its reissue is a new
//! write. So is one that no session waits for any more and that has not begun.
use crate::backend::value::{Answer, Value};
use crate::context::Context;
use crate::iscsi::shared::SessionName;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use dispatch::Request;
use futures_lite::{future, StreamExt};
use scheduler::interface::{Micros, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Writes that are running or whose results are kept; beyond that new ones are rejected.
pub const MAX_WRITES: usize = 4096;
/// When a write that was rejected for lack of room may be repeated.
const FULL_RETRY_AFTER: Micros = Micros(1_000_000);
/// How often results whose time is over are forgotten, at the least.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What a write is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteKey {
    /// The session's identity.
    pub session: SessionName,
    /// The initiator's task tag.
    pub tag: u32,
    /// A digest of where and what it writes.
    pub digest: u64,
}

/// A message to the record.
pub enum RecordMessage {
    /// All data of a write has arrived; its answer goes to the ticket.
    Begin(WriteKey, Request, Ticket),
    /// The initiator has acknowledged the write's status.
    Acknowledged(WriteKey),
    /// The session that waited for the write has ended; its mailbox is closed.
    Left(WriteKey),
}

enum State {
    /// It runs, and these sessions wait for it.
    Running(Vec<Ticket>),
    /// Its result, and since when.
    Done(Answer, Micros),
}

struct Entry {
    number: u64,
    /// Its request, once that was submitted.
    id: Option<RequestId>,
    state: State,
}

/// What becomes of a write.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// It is to be submitted, under this number.
    Run(u64),
    /// It was answered, or will be.
    Known,
}

/// The table of writes.
pub struct WriteRecord {
    entries: BTreeMap<WriteKey, Entry>,
    running: BTreeMap<u64, WriteKey>,
    last_number: u64,
    max_writes: usize,
    retention_us: i64,
}

impl WriteRecord {
    /// An empty record for `max_writes` writes that keeps results for `retention_us` microseconds.
    pub fn new(max_writes: usize, retention_us: i64) -> WriteRecord {
        let (entries, running) = (BTreeMap::new(), BTreeMap::new());
        WriteRecord { entries, running, last_number: 0, max_writes, retention_us }
    }

    /// Takes a write, or a reissue of one.
    pub fn begin(&mut self, key: WriteKey, ticket: Ticket) -> Next {
        let is_full = self.entries.len() >= self.max_writes;
        match self.entries.get_mut(&key).map(|entry| &mut entry.state) {
            Some(State::Running(waiting)) => {
                waiting.retain(|ticket| !ticket.to.is_closed());
                waiting.push(ticket);
                Next::Known
            }
            Some(State::Done(answer, _)) => {
                respond(&ticket, answer.clone());
                Next::Known
            }
            None if is_full => {
                respond(&ticket, Answer::Rejected(Some(FULL_RETRY_AFTER)));
                Next::Known
            }
            None => {
                self.last_number += 1;
                let number = self.last_number;
                self.running.insert(number, key.clone());
                self.entries.insert(key, Entry { number, id: None, state: State::Running(vec![ticket]) });
                Next::Run(number)
            }
        }
    }

    /// Takes the final answer to a write and passes it to the sessions that wait.
    pub fn answered(&mut self, now: Micros, number: u64, answer: Answer) {
        let Some(key) = self.running.remove(&number) else { return };
        let result = match &answer {
            Answer::Rejected(_) => None,
            // A backend may answer a write with a value, which no initiator asks for.
            Answer::Served(_) => Some(Answer::Served(Value::default())),
            Answer::Failed(reason) => Some(Answer::Failed(reason)),
        };
        let entry = match result {
            Some(result) => {
                self.entries.insert(key, Entry { number, id: None, state: State::Done(result, now) })
            }
            None => self.entries.remove(&key),
        };
        if let Some(Entry { state: State::Running(waiting), .. }) = entry {
            waiting.iter().for_each(|ticket| respond(ticket, answer.clone()));
        }
    }

    /// Notes the request of a write that was submitted.
    pub fn submitted(&mut self, key: &WriteKey, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.id = Some(id);
        }
    }

    /// Notes that a session has ended. Returns the request of a write for which no session waits any more.
    pub fn left(&mut self, key: &WriteKey) -> Option<RequestId> {
        let entry = self.entries.get_mut(key)?;
        let State::Running(waiting) = &mut entry.state else { return None };
        waiting.retain(|ticket| !ticket.to.is_closed());
        entry.id.filter(|_| waiting.is_empty())
    }

    /// Forgets a result that the initiator has.
    pub fn acknowledged(&mut self, key: &WriteKey) {
        if matches!(self.entries.get(key), Some(Entry { state: State::Done(..), .. })) {
            self.entries.remove(key);
        }
    }

    /// Forgets the results whose time is over.
    pub fn expire(&mut self, now: Micros) {
        let retention_us = self.retention_us;
        self.entries
            .retain(|_, entry| !matches!(entry.state, State::Done(_, at) if now.0 - at.0 >= retention_us));
        debug_assert!(self
            .running
            .iter()
            .all(|(number, key)| self.entries.get(key).is_none_or(|entry| entry.number == *number)));
    }
}

fn respond(ticket: &Ticket, answer: Answer) {
    // A closed mailbox belongs to a session that has ended.
    drop(ticket.to.try_send((ticket.slot, answer)));
}

/// What ended the actor's wait.
enum Wakeup {
    Message(Option<RecordMessage>),
    Answer(Option<(u64, Answer)>),
    Expiry,
}

/// Runs until the process ends. Results are kept for `retention_us` microseconds.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    messages: Receiver<RecordMessage>,
    retention_us: i64,
) {
    let (answers, answered): (Sender<(u64, Answer)>, _) = async_channel::bounded(MAX_WRITES);
    let (mut messages, mut answered) = (Box::pin(messages), Box::pin(answered));
    let mut record = WriteRecord::new(MAX_WRITES, retention_us);
    loop {
        let expiry = async {
            Timer::after(EXPIRY_INTERVAL).await;
            Wakeup::Expiry
        };
        let message = async { Wakeup::Message(messages.next().await) };
        let answer = async { Wakeup::Answer(answered.next().await) };
        match future::or(future::or(answer, message), expiry).await {
            Wakeup::Message(Some(RecordMessage::Begin(key, request, ticket))) => {
                if let Next::Run(number) = record.begin(key.clone(), ticket) {
                    let ticket = Ticket { slot: number, to: answers.clone(), class: request.class };
                    let id = context.number();
                    record.submitted(&key, id);
                    if scheduler.try_send(SchedulerMessage::Take(id, request, ticket)).is_err() {
                        record.answered(context.clock.now(), number, Answer::Rejected(None));
                    }
                }
            }
            Wakeup::Message(Some(RecordMessage::Acknowledged(key))) => record.acknowledged(&key),
            Wakeup::Message(Some(RecordMessage::Left(key))) => {
                if let Some(id) = record.left(&key) {
                    // The mailbox is closed only at the end of the process.
                    drop(scheduler.send(SchedulerMessage::Abandoned(id)).await);
                }
            }
            Wakeup::Answer(Some((number, answer))) => {
                record.answered(context.clock.now(), number, answer);
            }
            Wakeup::Expiry => {}
            Wakeup::Message(None) | Wakeup::Answer(None) => return,
        }
        record.expire(context.clock.now());
    }
}
