//! How long an attempt waits for its backend. Before a reply begins that is the attempt's deadline. A reply that is still arriving may
//! take until the client's deadline, and a pause in it is allowed for as long as there is nothing better to do with the time.
use crate::context::Context;
use dispatch::Attempt;
use scheduler::interface::{Idempotency, Micros};

/// How long a reply may pause within its first line, in microseconds: backends write one line at once.
const LINE_PAUSE_US: i64 = 100_000;
/// The part of the remaining time that a longer reply may pause where another attempt can follow: as much is left to that one.
const PAUSE_DIVISOR: i64 = 2;

/// How far a reply has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyProgress {
    /// Nothing has arrived.
    None,
    /// A part of its first line has arrived.
    Line,
    /// The beginning of a value, or of what holds one, has arrived.
    Value,
}

impl ReplyProgress {
    /// The progress of the RESP2 reply that begins with these bytes.
    pub fn of_resp(bytes: &[u8]) -> ReplyProgress {
        match bytes.first() {
            None => ReplyProgress::None,
            Some(b'*' | b'$') if bytes.contains(&b'\n') => ReplyProgress::Value,
            Some(_) => ReplyProgress::Line,
        }
    }
}

/// The timeout of one attempt.
pub struct ReplyTimeout {
    client_deadline: Micros,
    attempt_deadline: Micros,
    /// Whether another attempt can follow one that may have run.
    is_repeatable: bool,
    /// When bytes of the reply last arrived.
    arrived_at: Option<Micros>,
    /// Whether the reply went on after a pause: its backend is slow, and not broken.
    has_resumed: bool,
}

impl ReplyTimeout {
    /// The timeout of an attempt of which nothing has arrived.
    pub fn new(context: &Context, attempt: &Attempt) -> ReplyTimeout {
        let config = context.config();
        let class = config.settings.classes.get(attempt.request.class);
        ReplyTimeout {
            client_deadline: attempt.request.deadline,
            attempt_deadline: attempt.deadline,
            is_repeatable: class.is_some_and(|class| class.idempotency != Idempotency::AtMostOnce),
            arrived_at: None,
            has_resumed: false,
        }
    }

    /// Records that bytes of the reply have arrived.
    pub fn record_arrival(&mut self, now: Micros) {
        let last = self.arrived_at.replace(now);
        self.has_resumed |= last.is_some_and(|last| now.0 - last.0 >= LINE_PAUSE_US);
    }

    /// When the attempt ends unless more arrives before.
    pub fn at(&self, progress: ReplyProgress) -> Micros {
        let arrived_at = self.arrived_at.unwrap_or_default();
        match progress {
            ReplyProgress::None => self.attempt_deadline,
            ReplyProgress::Line => Micros(arrived_at.0 + LINE_PAUSE_US).min(self.client_deadline),
            ReplyProgress::Value if self.has_resumed || !self.is_repeatable => self.client_deadline,
            ReplyProgress::Value => {
                let pause_us = (self.client_deadline.0 - arrived_at.0) / PAUSE_DIVISOR;
                Micros(arrived_at.0 + pause_us.max(LINE_PAUSE_US)).min(self.client_deadline)
            }
        }
    }
}
