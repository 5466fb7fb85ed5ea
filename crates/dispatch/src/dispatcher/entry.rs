//! Entries of the table of open requests.
use crate::Request;
use scheduler::interface::{AttemptOutcome, Micros};
use std::cell::Cell;
use std::rc::Rc;

/// A request that waits for its final response or has an attempt in flight.
pub(super) struct Entry<T> {
    pub request: Rc<Request>,
    /// The client's ticket, until the final response is sent.
    pub ticket: Option<T>,
    pub attempts: u32,
    pub is_in_flight: bool,
    pub arrived_at: Micros,
    /// How the latest attempt that has ended did so.
    pub last_outcome: Option<AttemptOutcome>,
    /// Whether an attempt was written completely.
    pub was_written: bool,
    /// Whether an attempt may have been executed.
    pub may_have_run: bool,
    /// Whether no further attempt may begin, although another caller may still ask for the outcome.
    pub is_abandoned: bool,
    /// Whether the request still waits for its final response; shared with its attempts.
    pub is_wanted: Rc<Cell<bool>>,
}

impl<T> Entry<T> {
    /// Creates the entry of a request that has just arrived.
    pub fn new(request: Rc<Request>, ticket: T, now: Micros) -> Entry<T> {
        Entry {
            request,
            ticket: Some(ticket),
            attempts: 0,
            is_in_flight: false,
            arrived_at: now,
            last_outcome: None,
            was_written: false,
            may_have_run: false,
            is_abandoned: false,
            is_wanted: Rc::new(Cell::new(true)),
        }
    }

    /// Records the end of the attempt in flight.
    pub fn record_end(&mut self, outcome: AttemptOutcome) {
        self.is_in_flight = false;
        self.last_outcome = Some(outcome);
        self.was_written |= !matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent);
        self.may_have_run |= !matches!(
            outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected
        );
    }

    /// Whether the request has its final response and no attempt in flight.
    pub fn is_done(&self) -> bool {
        self.ticket.is_none() && !self.is_in_flight
    }

    /// Whether more than half of the client's time has passed with no attempt written completely.
    pub fn is_late(&self, now: Micros) -> bool {
        let allowed = self.request.deadline.0 - self.arrived_at.0;
        !self.was_written && now.0 - self.arrived_at.0 > allowed / 2
    }
}
