//! The end of a gather: its one answer, and what its parts have told of their halls.
use crate::answer::{listed, Answer, Cause, Failure, Gathered, Why};
use crate::gather::{Action, Gather, Shared};
use crate::hall::Stage;
use crate::memory::Size;
use crate::slot::Slot;
use cluster_types::Time;
use std::time::Duration;

impl<V: Size> Gather<V> {
    /// Gives the answer. It is the only place that does, and only once.
    pub(crate) fn conclude(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action<V>>) {
        self.report(now, shared);
        let answers = self.policy.answers(|i| self.slots[i].here());
        let answer = if answers { self.gathered(now, shared) } else { self.failure(now, shared) };
        match &answer {
            Answer::Gathered(gathered) if gathered.whole() => shared.counts.whole += 1,
            Answer::Gathered(_) => shared.counts.in_part += 1,
            Answer::Failed(_) => shared.counts.failed += 1,
        }
        out.push(Action::Answer(answer));
        self.drop_rest(out);
    }

    fn gathered(&mut self, now: Time, shared: &Shared) -> Answer<V> {
        let mut slots = Vec::with_capacity(self.slots.len());
        for i in 0..self.slots.len() {
            let why = self.why(i, now, shared);
            slots.push(match &mut self.slots[i] {
                slot @ Slot::Here(..) => match std::mem::replace(slot, Slot::Done) {
                    Slot::Here(value, held) => Ok((value, held)),
                    _ => Err(Why::Late),
                },
                _ => Err(why.unwrap_or(Why::Late)),
            });
        }
        Answer::Gathered(Gathered::new(self.policy.clone(), slots))
    }

    fn failure(&self, now: Time, shared: &Shared) -> Answer<V> {
        let policy = &self.policy;
        // Where an answer was still possible the waits are over, and all that is not here is lost; else what has ended.
        let possible = policy.answers(|i| self.slots[i].hopeful());
        let lost = |i: &usize| if possible { !self.slots[*i].here() } else { !self.slots[*i].hopeful() };
        let named = (0..self.slots.len()).filter(|i| policy.is_named(*i)).find(lost);
        let cause = named.map_or(Cause::TooFew, |i| Cause::Named(policy.parts[i].name.clone()));
        let missing = (0..self.slots.len()).map(|i| lost(&i).then(|| self.why(i, now, shared)).flatten());
        Answer::Failed(Failure { cause, missing: listed(policy, missing), hint: self.hint() })
    }

    /// After this time the refused parts that an answer needs may be asked again; where even all of them would not do,
    /// the longest that one of them gave.
    fn hint(&self) -> Option<Duration> {
        let hint_of = |s: &Slot<V>| match s {
            Slot::Missing(Why::Refused, hint) => *hint,
            _ => None,
        };
        let mut hints: Vec<Duration> = self.slots.iter().filter_map(hint_of).collect();
        hints.sort();
        let enough = |most: &Duration| {
            self.policy.answers(|i| {
                self.slots[i].hopeful() || hint_of(&self.slots[i]).is_some_and(|hint| hint <= *most)
            })
        };
        hints.iter().copied().find(enough).or(hints.last().copied())
    }

    fn why(&self, part: usize, now: Time, shared: &Shared) -> Option<Why> {
        match self.slots.get(part)? {
            Slot::Here(..) => None,
            Slot::Out { .. } => match shared.halls.stage(now, &self.policy.parts.get(part)?.hall) {
                Stage::CutOff => Some(Why::CutOff),
                _ => Some(Why::Late),
            },
            slot => slot.why(),
        }
    }

    /// Tells what was found of each hall: many parts of one gather are one sign.
    pub(crate) fn report(&self, now: Time, shared: &mut Shared) {
        for (hall, parts) in self.policy.by_hall() {
            let asked = |i: &usize| match self.slots.get(*i) {
                Some(Slot::Out { asked, .. }) => Some(*asked),
                _ => None,
            };
            if self.reached_in(hall).any(|r| r == Some(true)) {
                continue;
            }
            if self.reached_in(hall).any(|r| r == Some(false)) {
                shared.halls.unreached(now, hall);
            } else if let Some(asked) = parts.iter().filter_map(asked).min() {
                shared.halls.silent(now, hall, now.since(asked));
            }
        }
    }

    /// Ends without a word: parts that are out are told, and all memory goes back.
    pub(crate) fn drop_rest(&mut self, out: &mut Vec<Action<V>>) {
        self.over = true;
        for (part, slot) in self.slots.iter_mut().enumerate() {
            *slot = match slot {
                Slot::Out { asked, .. } => {
                    out.push(Action::Drop { part });
                    Slot::Dropped(*asked)
                }
                _ => Slot::Done,
            };
        }
    }
}
