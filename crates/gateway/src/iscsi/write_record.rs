//! The record of writes that came over iSCSI: an actor that sees to it that a reissue after a reconnect joins
//! the write that is running, or gets the result that it had, and never runs again.
//!
//! A write is known by its initiator, ISID and task tag, and by what it writes. Its result is kept until the
//! initiator has acknowledged its status, or else for the time in the configuration. A refused write did not
//! run: it is forgotten, and its reissue is a new try. So is one that no session waits for any more and that had not begun.
use crate::backend::value::{Answer, Value};
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use dispatch::Request;
use futures_lite::{future, StreamExt};
use scheduler::interface::{Micros, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Writes that are running or whose results are kept; beyond that new ones are refused.
pub const MOST: usize = 4096;

/// What a write is known by: initiator, ISID, task tag, and a digest of where and what it writes.
pub type Key = (Rc<str>, [u8; 6], u32, u64);

/// The record's mail.
pub enum Note {
    /// A whole write has come; its answer goes to that ticket.
    Begin(Key, Request, Ticket),
    /// The initiator has the write's status.
    Acknowledged(Key),
    /// The session that asked for it has ended; its mailbox is closed.
    Left(Key),
}

enum State {
    Running(Vec<Ticket>),
    Done(Answer, Micros),
}

struct Entry {
    number: u64,
    /// Its number in the core, once it runs.
    id: Option<RequestId>,
    state: State,
}

/// The table, without its mailbox.
struct Record {
    entries: BTreeMap<Key, Entry>,
    running: BTreeMap<u64, Key>,
    next: u64,
    most: usize,
    kept: i64,
}

enum Next {
    /// Take it on, under that number.
    Run(u64),
    /// It has its answer, or will get it.
    Known,
}

impl Record {
    fn new(most: usize, kept: i64) -> Record {
        Record { entries: BTreeMap::new(), running: BTreeMap::new(), next: 0, most, kept }
    }

    fn begin(&mut self, key: Key, ticket: Ticket) -> Next {
        let full = self.entries.len() >= self.most;
        match self.entries.get_mut(&key).map(|e| &mut e.state) {
            // Guards against a booking that runs twice: cut off, its initiator sends it again after a reconnect.
            Some(State::Running(waiting)) => {
                waiting.retain(|t| !t.to.is_closed());
                waiting.push(ticket);
                Next::Known
            }
            Some(State::Done(answer, _)) => {
                let _ = ticket.to.try_send((ticket.slot, answer.clone()));
                Next::Known
            }
            None if full => {
                let _ = ticket.to.try_send((ticket.slot, Answer::Rejected(Some(Micros(1_000_000)))));
                Next::Known
            }
            None => {
                self.next += 1;
                self.running.insert(self.next, key.clone());
                self.entries
                    .insert(key, Entry { number: self.next, id: None, state: State::Running(vec![ticket]) });
                Next::Run(self.next)
            }
        }
    }

    fn answered(&mut self, now: Micros, number: u64, answer: Answer) {
        let Some(key) = self.running.remove(&number) else { return };
        let kept = match &answer {
            Answer::Rejected(_) => None,
            // A disk box may answer a write with a value, which no initiator asks for.
            Answer::Served(_) => Some(Answer::Served(Value::default())),
            Answer::Failed(reason) => Some(Answer::Failed(reason)),
        };
        let entry = match &kept {
            Some(kept) => {
                let done = Entry { number, id: None, state: State::Done(kept.clone(), now) };
                self.entries.insert(key, done)
            }
            None => self.entries.remove(&key),
        };
        if let Some(Entry { state: State::Running(waiting), .. }) = entry {
            for ticket in waiting {
                let _ = ticket.to.try_send((ticket.slot, answer.clone()));
            }
        }
    }

    /// The write is with the core under that number.
    fn runs(&mut self, key: &Key, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.id = Some(id);
        }
    }

    /// A session has ended: gives the number of a write for which no session waits any more.
    fn left(&mut self, key: &Key) -> Option<RequestId> {
        let entry = self.entries.get_mut(key)?;
        let State::Running(waiting) = &mut entry.state else { return None };
        waiting.retain(|ticket| !ticket.to.is_closed());
        entry.id.filter(|_| waiting.is_empty())
    }

    fn acknowledged(&mut self, key: &Key) {
        if matches!(self.entries.get(key), Some(Entry { state: State::Done(..), .. })) {
            self.entries.remove(key);
        }
    }

    fn forget(&mut self, now: Micros) {
        let kept = self.kept;
        self.entries.retain(|_, e| !matches!(e.state, State::Done(_, at) if now.0 - at.0 >= kept));
        debug_assert!(self.running.iter().all(|(n, k)| self.entries.get(k).is_none_or(|e| e.number == *n)));
    }
}

enum Woken {
    Note(Option<Note>),
    Answer(Option<(u64, Answer)>),
    Second,
}

/// Runs until the program ends.
pub async fn run(context: Rc<Context>, scheduler: SchedulerMailbox, notes: Receiver<Note>, kept: i64) {
    let (to, answers): (Sender<(u64, Answer)>, _) = async_channel::bounded(MOST);
    let (mut notes, mut answers) = (Box::pin(notes), Box::pin(answers));
    let mut record = Record::new(MOST, kept);
    loop {
        let second = async {
            Timer::after(Duration::from_secs(1)).await;
            Woken::Second
        };
        let note = async { Woken::Note(notes.next().await) };
        let answer = async { Woken::Answer(answers.next().await) };
        match future::or(future::or(answer, note), second).await {
            Woken::Note(Some(Note::Begin(key, request, ticket))) => {
                if let Next::Run(number) = record.begin(key.clone(), ticket) {
                    let ticket = Ticket { slot: number, to: to.clone(), class: request.class };
                    let id = context.number();
                    record.runs(&key, id);
                    let mail = SchedulerMessage::Take(id, request, ticket);
                    if scheduler.try_send(mail).is_err() {
                        record.answered(context.clock.now(), number, Answer::Rejected(None));
                    }
                }
            }
            Woken::Note(Some(Note::Acknowledged(key))) => record.acknowledged(&key),
            Woken::Note(Some(Note::Left(key))) => {
                if let Some(id) = record.left(&key) {
                    let _ = scheduler.send(SchedulerMessage::Abandoned(id)).await;
                }
            }
            Woken::Answer(Some((number, answer))) => record.answered(context.clock.now(), number, answer),
            Woken::Second => {}
            Woken::Note(None) | Woken::Answer(None) => return,
        }
        record.forget(context.clock.now());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dispatch::Bytes;

    fn key(tag: u32) -> Key {
        ("iqn.2026-12.test:a".into(), [1; 6], tag, 7)
    }

    fn ticket(slot: u64) -> (Ticket, Receiver<(u64, Answer)>) {
        let (to, from) = async_channel::bounded(4);
        (Ticket { slot, to, class: 0 }, from)
    }

    #[test]
    fn a_reissue_joins_or_is_answered_and_runs_once() {
        let mut record = Record::new(2, 100);
        let ((first, _), (second, from)) = (ticket(1), ticket(2));
        assert!(matches!(record.begin(key(5), first), Next::Run(1)));
        assert!(matches!(record.begin(key(5), second.clone()), Next::Known));
        record.answered(Micros(0), 1, Answer::Failed("failed"));
        assert!(matches!(from.try_recv().unwrap(), (2, Answer::Failed("failed"))));
        assert!(matches!(record.begin(key(5), second.clone()), Next::Known));
        assert!(matches!(from.try_recv().unwrap(), (2, Answer::Failed("failed"))));
        record.acknowledged(&key(5));
        assert!(matches!(record.begin(key(5), second), Next::Run(2)), "a new write with an old tag");
    }

    #[test]
    fn what_was_refused_is_forgotten_and_the_table_is_bounded() {
        let mut record = Record::new(1, 100);
        let (t, from) = ticket(1);
        assert!(matches!(record.begin(key(5), t.clone()), Next::Run(1)));
        assert!(matches!(record.begin(key(6), t.clone()), Next::Known), "refused at the bound");
        assert!(matches!(from.try_recv().unwrap().1, Answer::Rejected(Some(_))));
        record.answered(Micros(0), 1, Answer::Rejected(None));
        assert!(matches!(from.try_recv().unwrap().1, Answer::Rejected(None)));
        assert!(matches!(record.begin(key(5), t.clone()), Next::Run(2)), "it did not run: a new try");
        record.answered(Micros(0), 2, Answer::Served(Value::Complete(Bytes::from(*b"value"))));
        record.forget(Micros(99));
        assert!(matches!(record.begin(key(5), t.clone()), Next::Known));
        record.forget(Micros(100));
        assert!(matches!(record.begin(key(5), t), Next::Run(3)), "after the time that results are kept");
    }
}
