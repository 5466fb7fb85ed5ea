//! Records what becomes of requests in the request log.
use super::Dispatcher;
use crate::{Request, RequestEvent, RequestLogEntry};
use scheduler::interface::{Micros, RequestId};

impl<T, V> Dispatcher<T, V> {
    /// Records an event of an open request whose response is not sent yet.
    pub(super) fn log_event(&mut self, now: Micros, id: RequestId, event: RequestEvent) {
        let Some(entry) = self.table.get(&id).filter(|entry| entry.ticket.is_some()) else { return };
        self.request_log.record(RequestLogEntry {
            name: entry.request.name.clone(),
            class: entry.request.class,
            event,
            attempts: entry.attempts,
            may_have_run: entry.may_have_run || entry.is_in_flight,
            elapsed: Micros(now.0 - entry.arrived_at.0),
            remaining: Micros(entry.request.deadline.0 - now.0),
        });
    }

    /// Records the end of a request that was not accepted.
    pub(super) fn log_unaccepted(&mut self, now: Micros, request: &Request, event: RequestEvent) {
        self.request_log.record(RequestLogEntry {
            name: request.name.clone(),
            class: request.class,
            event,
            attempts: 0,
            may_have_run: false,
            elapsed: Micros(0),
            remaining: Micros(request.deadline.0 - now.0),
        });
    }
}
