//! Final responses: exactly one for each request, whatever its cause.
use super::entry::Entry;
use super::{Dispatcher, DEFAULT_RETRY_AFTER, OVERDUE_AFTER_US};
use crate::{Effect, RequestEvent, Response};
use scheduler::interface::{Event, Micros, RequestId};

/// Why a request fails whose time is over.
const OVERDUE: &str = "no answer in time";

impl<T, V: Default> Dispatcher<T, V> {
    /// Handles a client that has disconnected while another caller may still ask for the outcome: no further
    /// attempt begins, and the final response tells the outcome of the attempts made.
    pub fn abandon(&mut self, now: Micros, id: RequestId) {
        let Some(entry) = self.table.get_mut(&id).filter(|entry| entry.ticket.is_some()) else { return };
        entry.is_abandoned = true;
        entry.is_wanted.set(false);
        if !entry.is_in_flight {
            self.respond_to_abandoned(now, id);
            self.notify(now, Event::ClientLeft(id));
        }
    }

    /// Sets a deadline by which all open requests get their responses, however long their clients would wait.
    /// Used when the process shuts down.
    pub fn respond_by(&mut self, deadline: Micros) {
        let is_due_after = |entry: &Entry<T>| entry.ticket.is_some() && entry.request.deadline > deadline;
        let with_later_deadline = self.table.iter().filter(|(_, entry)| is_due_after(entry));
        self.overdue.extend(with_later_deadline.map(|(id, _)| (deadline, *id)));
    }

    /// Fails requests that are overdue, whatever their state in the scheduler.
    pub(super) fn fail_overdue(&mut self, now: Micros) {
        while let Some((at, id)) = self.overdue.first().copied().filter(|(at, _)| *at <= now) {
            self.overdue.remove(&(at, id));
            self.log_event(now, id, RequestEvent::Failed(OVERDUE));
            if let Some(ticket) = self.take_ticket(now, id) {
                self.counters.overdue += 1;
                self.counters.failed += 1;
                self.count_late(now, id);
                self.effects.push_back(Effect::Respond(ticket, Response::Failed(OVERDUE)));
                self.remove_if_done(id);
                self.notify(now, Event::ClientLeft(id));
            }
        }
    }

    /// Responds to an abandoned request without an attempt in flight: rejected if it was not executed,
    /// otherwise failed.
    pub(super) fn respond_to_abandoned(&mut self, now: Micros, id: RequestId) {
        let may_have_run = self.table.get(&id).is_some_and(|entry| entry.may_have_run);
        if may_have_run {
            self.fail(now, id, "its client has left");
        } else {
            self.reject(now, id, Some(DEFAULT_RETRY_AFTER), "its client has left");
        }
    }

    /// Sends the final response "rejected".
    pub(super) fn reject(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after: Option<Micros>,
        reason: &'static str,
    ) {
        self.count_late(now, id);
        self.log_event(now, id, RequestEvent::Rejected(reason));
        if let Some(ticket) = self.take_ticket(now, id) {
            self.counters.rejected += 1;
            self.effects.push_back(Effect::Respond(ticket, Response::Rejected(retry_after)));
        }
        self.remove_if_done(id);
    }

    /// Sends the final response "failed".
    pub(super) fn fail(&mut self, now: Micros, id: RequestId, reason: &'static str) {
        self.count_late(now, id);
        self.log_event(now, id, RequestEvent::Failed(reason));
        if let Some(ticket) = self.take_ticket(now, id) {
            self.counters.failed += 1;
            self.effects.push_back(Effect::Respond(ticket, Response::Failed(reason)));
        }
        self.remove_if_done(id);
    }

    /// Takes the ticket of a request without a final response; the caller must respond to it.
    pub(super) fn take_ticket(&mut self, now: Micros, id: RequestId) -> Option<T> {
        let entry = self.table.get_mut(&id)?;
        let ticket = entry.ticket.take()?;
        entry.is_wanted.set(false);
        self.names.remove(&entry.request.name);
        if entry.may_have_run || entry.is_in_flight {
            self.recent_writes.keep(now, entry.request.class, &entry.request.name);
        }
        Some(ticket)
    }

    /// Removes a request if it has its final response and no attempt in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.table.get(&id).is_some_and(Entry::is_done) {
            return;
        }
        if let Some(entry) = self.table.remove(&id) {
            if !entry.may_have_run {
                self.recent_writes.forget(&entry.request.name);
            }
            self.memory_bytes -= entry.request.memory_bytes();
            self.overdue.remove(&(Micros(entry.request.deadline.0 + OVERDUE_AFTER_US), id));
        }
    }

    /// Counts a response that came too late for the client to retry, with nothing sent before it.
    fn count_late(&mut self, now: Micros, id: RequestId) {
        let is_late = self.table.get(&id).is_some_and(|entry| entry.is_late(now));
        self.counters.late += u64::from(is_late);
    }
}
