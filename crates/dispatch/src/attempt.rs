//! Attempts, their results, and the effects that the caller has to carry out.
use crate::{Bytes, Request, Response};
use scheduler::interface::{AttemptOutcome, BackendId, Micros, RequestId};
use std::cell::Cell;
use std::rc::Rc;

/// An attempt to send a request to a backend.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the request.
    pub id: RequestId,
    /// Number of the attempt, starting from 0.
    pub number: u32,
    /// The backend to send it to.
    pub backend: BackendId,
    /// The request to send.
    pub request: Rc<Request>,
    /// When the scheduler decided on the attempt.
    pub started_at: Micros,
    /// When the attempt times out.
    pub deadline: Micros,
    /// When the attempt must have begun: after that, backends no longer recognize it as a retry.
    pub begin_by: Micros,
    /// Whether the request still waits for its final response.
    pub(crate) is_wanted: Rc<Cell<bool>>,
}

impl Attempt {
    /// Whether the attempt may begin now.
    ///
    /// Establishing a connection takes time: meanwhile the client may have disconnected, or the attempt may
    /// have expired.
    pub fn may_begin(&self, now: Micros) -> bool {
        self.is_wanted.get() && now < self.deadline && now < self.begin_by
    }

    /// Creates the result of this attempt, without a value.
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

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd<V = Bytes> {
    /// Number of the request.
    pub id: RequestId,
    /// Number of the attempt, starting from 0.
    pub number: u32,
    /// The backend.
    pub backend: BackendId,
    /// When the scheduler decided on the attempt.
    pub started_at: Micros,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Units served for the volume through other gateways, as reported by the response.
    pub remote_units: f64,
    /// The value, if the request was served.
    pub value: Option<V>,
}

/// An effect that the caller has to carry out.
#[derive(Debug)]
pub enum Effect<T, V = Bytes> {
    /// Start an attempt.
    StartAttempt(Attempt),
    /// Send a client its final response.
    Respond(T, Response<V>),
    /// Subscribe to updates of the backend list.
    Watch,
}
