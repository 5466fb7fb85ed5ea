//! The module's actions carried out, and the one final answer of each request, by whatever it comes.
use super::*;

impl<T, V: Default> Core<T, V> {
    /// The client has gone, and another may still ask for the outcome: no attempt begins any more, and the final answer tells
    /// what has become of those that have.
    pub fn abandon(&mut self, now: Micros, id: RequestId) {
        let Some(entry) = self.table.get_mut(&id).filter(|e| e.ticket.is_some()) else { return };
        entry.abandoned = true;
        entry.wanted.set(false);
        if !entry.out {
            self.answer_abandoned(now, id);
            self.tell(now, Event::Left(id));
        }
    }

    /// Lets the timers that have come due fire.
    pub fn wake(&mut self, now: Micros) {
        while let Some((_, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            self.tell(now, Event::Timer(token));
        }
        while let Some((at, id)) = self.overdue.first().copied().filter(|o| o.0 <= now) {
            self.overdue.remove(&(at, id));
            // Guards the rule that every request is answered: whatever the module holds, its client waits no more.
            if let Some(ticket) = self.finish(id) {
                self.counters.overdue += 1;
                self.counters.failed += 1;
                self.count_late(now, id);
                self.effects.push_back(Effect::Answer(ticket, Answer::Failed("no answer in time")));
                self.drop_if_done(id);
                self.tell(now, Event::Left(id));
            }
        }
    }

    /// All that is open is to have its answer by then, however long its client waits. Guards against a kill that finds
    /// something unanswered.
    pub fn answer_by(&mut self, by: Micros) {
        let late = |e: &Entry<T>| e.ticket.is_some() && e.request.until > by;
        self.overdue.extend(self.table.iter().filter(|(_, e)| late(e)).map(|(id, _)| (by, *id)));
    }

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

    /// The final answer of a request that was abandoned and has no attempt out: refused where nothing ran, else failed.
    pub(super) fn answer_abandoned(&mut self, now: Micros, id: RequestId) {
        let ran = self.table.get(&id).is_some_and(|e| e.ran);
        let never_ran = Answer::Refused(Some(COME_AGAIN));
        self.answer(now, id, if ran { Answer::Failed("its client has left") } else { never_ran });
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
