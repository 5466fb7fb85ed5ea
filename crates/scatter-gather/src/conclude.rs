//! The end of a gather: its one answer, and what its requests have shown of their zones.
use crate::answer::{missing_responses, Answer, Cause, Failure, Gathered, HeldValue, MissingReason};
use crate::gather::{Gather, GatherAction};
use crate::memory::Size;
use crate::shared::Shared;
use crate::slot::Slot;
use crate::zone::ZoneHealth;
use cluster_types::Time;
use std::mem;
use std::time::Duration;

impl<V: Size> Gather<V> {
    /// Gives the answer. It is the only place that does, and only once.
    pub(crate) fn conclude(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<GatherAction<V>>) {
        self.report_zones(now, shared);
        let is_answer = self.policy.is_answer(|request| self.slots[request].is_received());
        let answer = if is_answer { self.gathered(now, shared) } else { self.failure(now, shared) };
        match &answer {
            Answer::Gathered(gathered) if gathered.is_complete() => shared.counters.complete += 1,
            Answer::Gathered(_) => shared.counters.partial += 1,
            Answer::Failed(_) => shared.counters.failed += 1,
        }
        out.push(GatherAction::Answer(answer));
        self.abandon_rest(out);
    }

    fn gathered(&mut self, now: Time, shared: &Shared) -> Answer<V> {
        let slots = (0..self.slots.len()).map(|request| self.take_value(request, now, shared)).collect();
        Answer::Gathered(Gathered::new(self.policy.clone(), slots))
    }

    fn take_value(
        &mut self,
        request: usize,
        now: Time,
        shared: &Shared,
    ) -> Result<HeldValue<V>, MissingReason> {
        if let Some(reason) = self.missing_reason(request, now, shared) {
            return Err(reason);
        }
        match mem::replace(&mut self.slots[request], Slot::Done) {
            Slot::Received(held) => Ok(held),
            other => {
                self.slots[request] = other;
                Err(MissingReason::Late)
            }
        }
    }

    fn failure(&self, now: Time, shared: &Shared) -> Answer<V> {
        let policy = &self.policy;
        // Where an answer was still possible the waits are over, and all that is not here is lost; else what has ended.
        let is_possible = policy.is_answer(|request| self.slots[request].is_possible());
        let is_lost = |request: &usize| {
            let slot = &self.slots[*request];
            if is_possible {
                !slot.is_received()
            } else {
                !slot.is_possible()
            }
        };
        let requests = 0..self.slots.len();
        let required = requests.clone().filter(|request| policy.is_required(*request)).find(is_lost);
        let cause = required
            .map_or(Cause::TooFew, |request| Cause::RequiredMissing(policy.requests[request].name.clone()));
        let reason = |request| {
            let reason = self.missing_reason(request, now, shared);
            reason.filter(|_| is_lost(&request))
        };
        let missing = missing_responses(policy, requests.map(reason));
        Answer::Failed(Failure { cause, missing, retry_after: self.retry_after() })
    }

    /// After this time the rejected requests that an answer needs may be retried; where even all of them would not do, the
    /// longest time that one of them was given.
    fn retry_after(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.slots.iter().filter_map(Slot::retry_after).collect();
        times.sort();
        let is_enough = |time: &Duration| {
            self.policy.is_answer(|request| {
                let slot = &self.slots[request];
                slot.is_possible() || slot.retry_after().is_some_and(|retry_after| retry_after <= *time)
            })
        };
        times.iter().copied().find(is_enough).or(times.last().copied())
    }

    fn missing_reason(&self, request: usize, now: Time, shared: &Shared) -> Option<MissingReason> {
        match self.slots.get(request)? {
            Slot::Received(_) => None,
            Slot::Waiting(_) => match shared.zones.health(now, &self.policy.requests.get(request)?.zone) {
                ZoneHealth::Ejected => Some(MissingReason::ZoneEjected),
                ZoneHealth::Healthy | ZoneHealth::Suspect => Some(MissingReason::Late),
            },
            slot => slot.missing_reason(),
        }
    }

    /// Records what was found of each zone: all requests of a gather to a zone are one observation.
    pub(crate) fn report_zones(&self, now: Time, shared: &mut Shared) {
        for (zone, requests) in self.policy.requests_by_zone() {
            if self.reached_in(zone).any(|reached| reached == Some(true)) {
                continue;
            }
            let sent_at = |request: &usize| self.slots.get(*request).and_then(Slot::sent_at);
            if self.reached_in(zone).any(|reached| reached == Some(false)) {
                shared.zones.record_unreachable(now, zone);
            } else if let Some(sent_at) = requests.iter().filter_map(sent_at).min() {
                shared.zones.record_silence(now, zone, now.since(sent_at));
            }
        }
    }

    /// Ends without an answer: requests that are waited for are abandoned, and all memory is returned.
    pub(crate) fn abandon_rest(&mut self, out: &mut Vec<GatherAction<V>>) {
        self.is_over = true;
        for (request, slot) in self.slots.iter_mut().enumerate() {
            *slot = match slot.sent_at() {
                Some(sent_at) => {
                    out.push(GatherAction::Abandon { request });
                    Slot::Abandoned { sent_at }
                }
                None => Slot::Done,
            };
        }
    }
}
