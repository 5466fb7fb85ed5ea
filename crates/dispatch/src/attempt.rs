//! Attempts, their ends, and the effects that the caller has to carry out.
use crate::{Bytes, Request, Response};
use scheduler::interface::{AttemptOutcome, BackendId, Micros, RequestId};
use std::cell::Cell;
use std::rc::Rc;

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's number.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub number: u32,
    /// Where to send it.
    pub backend: BackendId,
    /// What to send.
    pub request: Rc<Request>,
    /// When it was decided on.
    pub started_at: Micros,
    /// When to stop waiting for the response.
    pub deadline: Micros,
    /// When it must have begun: after that, a backend no longer recognizes a repeat as one.
    pub begin_by: Micros,
    /// Whether its request still waits for its final response.
    pub(crate) is_wanted: Rc<Cell<bool>>,
}

impl Attempt {
    /// Whether it may begin now.
    ///
    /// Establishing a connection takes time: meanwhile the client may have left, or the attempt's time have
    /// passed.
    pub fn may_begin(&self, now: Micros) -> bool {
        self.is_wanted.get() && now < self.deadline && now < self.begin_by
    }

    /// The end of this attempt, without a value.
    pub fn ended<V>(&self, outcome: AttemptOutcome) -> AttemptEnd<V> {
        AttemptEnd {
            id: self.id,
            number: self.number,
            backend: self.backend.clone(),
            started_at: self.started_at,
            outcome,
            remote_units: 0.0,
            value: None,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd<V = Bytes> {
    /// The request's number.
    pub id: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// The backend.
    pub backend: BackendId,
    /// When it was decided on.
    pub started_at: Micros,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Units served for the volume through other gateways.
    pub remote_units: f64,
    /// The value, of one that was served.
    pub value: Option<V>,
}

/// What the caller has to do.
#[derive(Debug)]
pub enum Effect<T, V = Bytes> {
    /// Make an attempt.
    StartAttempt(Attempt),
    /// Give a client its final response.
    Respond(T, Response<V>),
    /// Subscribe to updates of the list of backends.
    Watch,
}
