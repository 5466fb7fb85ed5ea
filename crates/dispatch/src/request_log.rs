//! A bounded log of what became of requests that were not served at the first attempt.
use scheduler::interface::{AttemptOutcome, BackendId, Micros};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

/// The most entries that wait to be read; further ones are only counted.
const MAX_ENTRIES: usize = 64;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// A further attempt began, because the one before ended like this.
    Retried {
        /// The outcome of the attempt before.
        outcome: AttemptOutcome,
        /// The backend of the new attempt.
        backend: BackendId,
    },
    /// It was rejected, for this reason.
    Rejected(&'static str),
    /// It failed, for this reason.
    Failed(&'static str),
    /// Its client disconnected before the response.
    ClientLeft,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLogEntry {
    /// The name that the client gave the request.
    pub name: Rc<str>,
    /// Index of the class.
    pub class: usize,
    /// What happened.
    pub event: RequestEvent,
    /// Attempts begun by then.
    pub attempts: u32,
    /// Whether one of them may have been executed.
    pub may_have_run: bool,
    /// Time since the request arrived.
    pub elapsed: Micros,
    /// Time left until its deadline; negative after it.
    pub remaining: Micros,
}

/// The log: entries to be read, and how many did not fit.
#[derive(Debug, Default)]
pub struct RequestLog {
    entries: VecDeque<RequestLogEntry>,
    dropped: u64,
}

impl RequestLog {
    pub(crate) fn record(&mut self, entry: RequestLogEntry) {
        if self.entries.len() < MAX_ENTRIES {
            self.entries.push_back(entry);
        } else {
            self.dropped += 1;
        }
    }

    /// Removes the oldest entry.
    pub fn pop(&mut self) -> Option<RequestLogEntry> {
        self.entries.pop_front()
    }

    /// Returns how many entries did not fit since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

impl fmt::Display for RequestEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestEvent::Retried { outcome, backend } => {
                write!(formatter, "retried outcome={outcome:?} backend={backend}")
            }
            RequestEvent::Rejected(reason) => write!(formatter, "rejected reason={reason:?}"),
            RequestEvent::Failed(reason) => write!(formatter, "failed reason={reason:?}"),
            RequestEvent::ClientLeft => formatter.write_str("client-left"),
        }
    }
}

impl fmt::Display for RequestLogEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "id={} class={} event={}", self.name, self.class, self.event)?;
        let (elapsed_ms, remaining_ms) = (self.elapsed.0 / 1000, self.remaining.0 / 1000);
        let (attempts, may_have_run) = (self.attempts, self.may_have_run);
        write!(
            formatter,
            " attempts={attempts} may_have_run={may_have_run} elapsed_ms={elapsed_ms} remaining_ms={remaining_ms}"
        )
    }
}
