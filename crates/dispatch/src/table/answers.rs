//! The module's actions carried out, and the one final answer of each request.
use super::*;

impl<T, V: Default> Core<T, V> {
    /// Takes the ticket of a request that has had no final answer yet.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<T> {
        let entry = self.table.get_mut(&id)?;
        let ticket = entry.ticket.take()?;
        entry.wanted.set(false);
        self.names.remove(&entry.request.name);
        Some(ticket)
    }

    pub(super) fn drop_if_done(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(|e| e.ticket.is_none() && !e.out) {
            if let Some(entry) = self.table.remove(&id) {
                self.held -= entry.request.weight();
                self.overdue.remove(&(Micros(entry.request.until.0 + OVERDUE), id));
            }
        }
    }

    /// Counts an answer that came too late for its client to try again well, with nothing to show for the time.
    pub(super) fn count_late(&mut self, now: Micros, id: RequestId) {
        let late = |e: &Entry<T>| !e.written && now.0 - e.came.0 > (e.request.until.0 - e.came.0) / 2;
        self.counters.late += u64::from(self.table.get(&id).is_some_and(late));
    }

    fn answer(&mut self, now: Micros, id: RequestId, answer: Answer<V>) {
        self.count_late(now, id);
        if let Some(ticket) = self.finish(id) {
            match answer {
                Answer::Refused(_) => self.counters.refused += 1,
                _ => self.counters.failed += 1,
            }
            self.effects.push_back(Effect::Answer(ticket, answer));
        }
        self.drop_if_done(id);
    }

    pub(super) fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, node, timeout, begin_by } => {
                    let Some(entry) = self.table.get_mut(&id).filter(|e| e.ticket.is_some() && !e.out) else {
                        continue;
                    };
                    let number = entry.attempts;
                    entry.attempts += 1;
                    entry.out = true;
                    self.counters.sent += 1;
                    self.counters.further += u64::from(number > 0);
                    let request = entry.request.clone();
                    let until = timeout.map_or(request.until, |t| Micros(now.0 + t.0).min(request.until));
                    let wanted = entry.wanted.clone();
                    let attempt =
                        Attempt { id, number, node, request, started: now, until, begin_by, wanted };
                    self.effects.push_back(Effect::Start(attempt));
                }
                Action::Refuse { id, wait } => self.answer(now, id, Answer::Refused(wait)),
                Action::Fail { id } => self.answer(now, id, Answer::Failed("failed")),
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
}
