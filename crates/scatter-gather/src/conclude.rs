//! Conclusion of a gather: builds its answer, and records the outcome for each zone.
use crate::answer::{missing_responses, Answer, Cause, Failure, Gathered, HeldValue, MissingReason};
use crate::gather::{Gather, GatherAction};
use crate::memory::Size;
use crate::shared::SharedState;
use crate::slot::Slot;
use crate::zone::ZoneHealth;
use cluster_types::Time;
use std::mem;
use std::time::Duration;

impl<V: Size> Gather<V> {
    /// Emits the answer. Called once for each gather; nothing else emits an answer.
    pub(crate) fn conclude(&mut self, now: Time, shared: &mut SharedState, out: &mut Vec<GatherAction<V>>) {
        self.record_zone_outcomes(now, shared);
        let is_answer = self.policy.is_answer(|request| self.slots[request].is_received());
        let answer =
            if is_answer { self.take_gathered(now, shared) } else { self.build_failure(now, shared) };
        match &answer {
            Answer::Gathered(gathered) if gathered.is_complete() => shared.counters.complete += 1,
            Answer::Gathered(_) => shared.counters.partial += 1,
            Answer::Failed(_) => shared.counters.failed += 1,
        }
        out.push(GatherAction::Answer(answer));
        self.abandon_pending(out);
    }

    fn take_gathered(&mut self, now: Time, shared: &SharedState) -> Answer<V> {
        let slots = (0..self.slots.len()).map(|request| self.take_value(request, now, shared)).collect();
        Answer::Gathered(Gathered::new(self.policy.clone(), slots))
    }

    fn take_value(
        &mut self,
        request: usize,
        now: Time,
        shared: &SharedState,
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

    fn build_failure(&self, now: Time, shared: &SharedState) -> Answer<V> {
        let policy = &self.policy;
        // If an answer was still possible, the waits have expired and every response not received is missing; otherwise
        // only the requests that have ended without a value are.
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

    /// The shortest retry time after which enough rejected requests may be retried for an answer. If not even all of them
    /// would be enough, the longest retry time of any.
    fn retry_after(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.slots.iter().filter_map(Slot::retry_after).collect();
        times.sort();
        let allows_answer = |time: &Duration| {
            self.policy.is_answer(|request| {
                let slot = &self.slots[request];
                slot.is_possible() || slot.retry_after().is_some_and(|retry_after| retry_after <= *time)
            })
        };
        times.iter().copied().find(allows_answer).or(times.last().copied())
    }

    fn missing_reason(&self, request: usize, now: Time, shared: &SharedState) -> Option<MissingReason> {
        match self.slots.get(request)? {
            Slot::Received(_) => None,
            Slot::Waiting(_) => match shared.zones.health(now, &self.policy.requests.get(request)?.zone) {
                ZoneHealth::Ejected => Some(MissingReason::ZoneEjected),
                ZoneHealth::Healthy | ZoneHealth::Suspect => Some(MissingReason::Late),
            },
            slot => slot.missing_reason(),
        }
    }

    /// Records the outcome for each zone: all requests of a gather to a zone count as one observation.
    pub(crate) fn record_zone_outcomes(&self, now: Time, shared: &mut SharedState) {
        for (zone, requests) in self.policy.requests_by_zone() {
            if self.reachability_in(zone).any(|reached| reached == Some(true)) {
                continue;
            }
            let sent_at = |request: &usize| self.slots.get(*request).and_then(Slot::sent_at);
            if self.reachability_in(zone).any(|reached| reached == Some(false)) {
                shared.zones.record_unreachable(now, zone);
            } else if let Some(sent_at) = requests.iter().filter_map(sent_at).min() {
                shared.zones.record_silence(now, zone, now.since(sent_at));
            }
        }
    }

    /// Ends the gather: abandons pending requests and releases the remaining memory.
    pub(crate) fn abandon_pending(&mut self, out: &mut Vec<GatherAction<V>>) {
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
