//! The record of iSCSI writes: an actor that deduplicates writes that are reissued after a reconnect. A reissue waits for the running
//! write or gets its recorded result, so that the write is never executed twice.
//!
//! A write is identified by its initiator, ISID and task tag, and by a digest of where and what it writes. Its result is kept until the
//! initiator has acknowledged its status, or otherwise for the configured time. A rejected write was not executed: it is removed, and
//! its reissue is a new write. The same holds for a write that has not begun and for which no session waits any more.
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

/// The maximum number of writes that are running or whose results are kept; further writes are rejected.
pub const MAX_WRITES: usize = 4096;
/// The delay after which a write that was rejected because the record is full may be retried.
const FULL_RETRY_AFTER: Micros = Micros(1_000_000);
/// The maximum time between two removals of expired results.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The identity of a write.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteKey {
    /// The session's identity.
    pub session: SessionName,
    /// The initiator's task tag.
    pub tag: u32,
    /// A digest of the write's location and data.
    pub digest: u64,
}

/// A message to the record.
pub enum RecordMessage {
    /// All data of a write has arrived; its answer is sent to the ticket.
    Begin(WriteKey, Request, Ticket),
    /// The initiator has acknowledged the write's status.
    Acknowledged(WriteKey),
    /// The session that waited for the write has ended; its channel is closed.
    SessionEnded(WriteKey),
}

enum State {
    /// The write is running, and these sessions wait for it.
    Running(Vec<Ticket>),
    /// The result of the write, and the time when it was recorded.
    Done(Answer, Micros),
}

struct Entry {
    number: u64,
    /// The id of its request, once that is submitted.
    id: Option<RequestId>,
    state: State,
}

/// How a write that begins is handled.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The write is new and is to be submitted, with this number.
    Submit(u64),
    /// Nothing is to be submitted: the write was answered, or will be with the one that is running.
    Handled,
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
    /// Creates an empty record for `max_writes` writes that keeps results for `retention_us` microseconds.
    pub fn new(max_writes: usize, retention_us: i64) -> WriteRecord {
        let (entries, running) = (BTreeMap::new(), BTreeMap::new());
        WriteRecord { entries, running, last_number: 0, max_writes, retention_us }
    }

    /// Begins a write, or handles the reissue of one.
    pub fn begin(&mut self, key: WriteKey, ticket: Ticket) -> BeginOutcome {
        let is_full = self.entries.len() >= self.max_writes;
        match self.entries.get_mut(&key).map(|entry| &mut entry.state) {
            Some(State::Running(waiting)) => {
                waiting.retain(|ticket| !ticket.to.is_closed());
                waiting.push(ticket);
                BeginOutcome::Handled
            }
            Some(State::Done(answer, _)) => {
                send_answer(&ticket, answer.clone());
                BeginOutcome::Handled
            }
            None if is_full => {
                send_answer(&ticket, Answer::Rejected(Some(FULL_RETRY_AFTER)));
                BeginOutcome::Handled
            }
            None => {
                self.last_number += 1;
                let number = self.last_number;
                self.running.insert(number, key.clone());
                self.entries.insert(key, Entry { number, id: None, state: State::Running(vec![ticket]) });
                BeginOutcome::Submit(number)
            }
        }
    }

    /// Records the final answer to a write, and sends it to the sessions that wait for it.
    pub fn record_answer(&mut self, now: Micros, number: u64, answer: Answer) {
        let Some(key) = self.running.remove(&number) else { return };
        let result = match &answer {
            Answer::Rejected(_) => None,
            // A backend may answer a write with a value, which initiators don't expect.
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
            waiting.iter().for_each(|ticket| send_answer(ticket, answer.clone()));
        }
    }

    /// Records the request id of a write that is submitted.
    pub fn record_submission(&mut self, key: &WriteKey, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.id = Some(id);
        }
    }

    /// Removes ended sessions from those that wait for a write. Returns the id of the write's request if no session waits any more.
    pub fn remove_ended_sessions(&mut self, key: &WriteKey) -> Option<RequestId> {
        let entry = self.entries.get_mut(key)?;
        let State::Running(waiting) = &mut entry.state else { return None };
        waiting.retain(|ticket| !ticket.to.is_closed());
        entry.id.filter(|_| waiting.is_empty())
    }

    /// Removes a result whose status the initiator has acknowledged.
    pub fn acknowledge(&mut self, key: &WriteKey) {
        if matches!(self.entries.get(key), Some(Entry { state: State::Done(..), .. })) {
            self.entries.remove(key);
        }
    }

    /// Removes expired results.
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

fn send_answer(ticket: &Ticket, answer: Answer) {
    // A closed channel belongs to a session that has ended.
    drop(ticket.to.try_send((ticket.slot, answer)));
}

/// The event that ended the actor's wait.
enum Wakeup {
    Message(Option<RecordMessage>),
    Answer(Option<(u64, Answer)>),
    Expiry,
}

/// Runs the actor until the process ends. Results are kept for `retention_us` microseconds.
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
                if let BeginOutcome::Submit(number) = record.begin(key.clone(), ticket) {
                    let ticket = Ticket { slot: number, to: answers.clone(), class: request.class };
                    let id = context.next_request_id();
                    record.record_submission(&key, id);
                    if scheduler.try_send(SchedulerMessage::Submit(id, request, ticket)).is_err() {
                        record.record_answer(context.clock.now(), number, Answer::Rejected(None));
                    }
                }
            }
            Wakeup::Message(Some(RecordMessage::Acknowledged(key))) => record.acknowledge(&key),
            Wakeup::Message(Some(RecordMessage::SessionEnded(key))) => {
                if let Some(id) = record.remove_ended_sessions(&key) {
                    // The mailbox is closed only at the end of the process.
                    drop(scheduler.send(SchedulerMessage::Abandoned(id)).await);
                }
            }
            Wakeup::Answer(Some((number, answer))) => {
                record.record_answer(context.clock.now(), number, answer);
            }
            Wakeup::Expiry => {}
            Wakeup::Message(None) | Wakeup::Answer(None) => return,
        }
        record.expire(context.clock.now());
    }
}
