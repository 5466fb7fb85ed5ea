//! Passes events to the scheduler and carries out its actions.
use super::Dispatcher;
use crate::{Attempt, Effect, RequestEvent};
use scheduler::interface::{Action, BackendId, Event, Micros, RequestId};

impl<T, V: Default> Dispatcher<T, V> {
    /// Fires expired timers, and fails requests that are overdue.
    pub fn fire_timers(&mut self, now: Micros) {
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            self.notify(now, Event::TimerFired(token));
        }
        self.fail_overdue(now);
    }

    /// Passes an event to the scheduler and carries out its actions.
    pub(super) fn notify(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, backend, timeout, begin_by } => {
                    self.start_attempt(now, id, backend, timeout, begin_by);
                }
                Action::Reject { id, retry_after } => self.reject(now, id, retry_after, "scheduler"),
                Action::Fail { id } => self.fail(now, id, "failed"),
                Action::SetTimer { after, token } => {
                    self.timers.insert((Micros(now.0 + after.0), token));
                }
                Action::Watch => {
                    self.counters.watches += 1;
                    self.effects.push_back(Effect::Watch);
                }
            }
        }
        self.actions = actions;
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Micros>,
        begin_by: Micros,
    ) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        if entry.ticket.is_none() || entry.is_in_flight {
            return;
        }
        let number = entry.attempts;
        entry.attempts += 1;
        entry.is_in_flight = true;
        self.counters.sent += 1;
        self.counters.retries += u64::from(number > 0);
        let deadline = entry.request.deadline;
        let last_outcome = entry.last_outcome;
        let retried_at = backend.clone();
        self.effects.push_back(Effect::StartAttempt(Attempt {
            id,
            number,
            backend,
            request: entry.request.clone(),
            started_at: now,
            deadline: timeout.map_or(deadline, |timeout| Micros(now.0 + timeout.0).min(deadline)),
            begin_by,
            is_wanted: entry.is_wanted.clone(),
        }));
        if let Some(outcome) = last_outcome {
            self.log_event(now, id, RequestEvent::Retried { outcome, backend: retried_at });
        }
    }
}
