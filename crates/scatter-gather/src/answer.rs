//! The answer of a gather.
use crate::memory::Reservation;
use crate::policy::Policy;
use cluster_types::Zone;
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// Why a response is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MissingReason {
    /// It did not arrive in time.
    Late,
    /// Its zone is ejected: the request was not sent, or the wait for its response was cut short.
    ZoneEjected,
    /// The request was rejected without being executed.
    Rejected,
    /// The request failed for this reason.
    Failed(Cow<'static, str>),
}

/// A missing response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingResponse {
    /// The zone of the request.
    pub zone: Zone,
    /// The name of the request.
    pub request: Arc<str>,
    /// Why the response is missing.
    pub reason: MissingReason,
}

/// The answer of a gather.
#[derive(Debug)]
pub enum Answer<V> {
    /// The values, complete or partial.
    Gathered(Gathered<V>),
    /// There is no answer.
    Failed(Failure),
}

/// A value with its memory reservation.
#[derive(Debug)]
pub struct HeldValue<V> {
    /// The value.
    pub value: V,
    /// The memory reserved for it, released on drop.
    pub reservation: Reservation,
}

/// The values that arrived. Completeness is not stored but derived from the slots.
#[derive(Debug)]
pub struct Gathered<V> {
    policy: Arc<Policy>,
    slots: Vec<Result<HeldValue<V>, MissingReason>>,
}

impl<V> Gathered<V> {
    /// One slot for each request, in the policy's order. An absent slot counts as a missing response.
    pub(crate) fn new(
        policy: Arc<Policy>,
        mut slots: Vec<Result<HeldValue<V>, MissingReason>>,
    ) -> Gathered<V> {
        slots.resize_with(policy.requests.len(), || Err(MissingReason::Late));
        Gathered { policy, slots }
    }

    /// Whether no response is missing.
    pub fn is_complete(&self) -> bool {
        !self.slots.is_empty() && self.slots.iter().all(Result::is_ok)
    }

    /// The name of each request with its value, in the policy's order; `None` if the response is missing.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, Option<&V>)> {
        let values = self.slots.iter().map(|slot| slot.as_ref().ok().map(|held| &held.value));
        self.policy.requests.iter().map(|request| &request.name).zip(values)
    }

    /// The missing responses, in the policy's order.
    pub fn missing(&self) -> Vec<MissingResponse> {
        missing_responses(&self.policy, self.slots.iter().map(|slot| slot.as_ref().err().cloned()))
    }

    /// The values with their reservations, for a protocol that writes them one by one.
    pub fn into_values(self) -> Vec<Option<HeldValue<V>>> {
        self.slots.into_iter().map(Result::ok).collect()
    }

    /// The values concatenated in the policy's order; `None` if one is missing, since later values would be misplaced.
    pub fn joined(&self) -> Option<Vec<u8>>
    where
        V: AsRef<[u8]>,
    {
        let slots = self.slots.iter();
        let values: Option<Vec<&[u8]>> =
            slots.map(|slot| slot.as_ref().ok().map(|held| held.value.as_ref())).collect();
        values.filter(|values| !values.is_empty()).map(|values| values.concat())
    }

    /// The bytes reserved for its values.
    pub fn reserved_bytes(&self) -> u64 {
        self.slots.iter().flatten().map(|held| held.reservation.bytes()).sum()
    }
}

/// The cause of a gather's failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The response to a required request is missing.
    RequiredMissing(Arc<str>),
    /// There are too few responses.
    TooFew,
}

/// A gather without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The cause of the failure.
    pub cause: Cause,
    /// The missing responses, without those that were still pending when the gather failed.
    pub missing: Vec<MissingResponse>,
    /// When to retry, if rejections of shard requests said so.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Whether all missing responses are rejections, so that the client's request can be rejected too.
    pub fn is_rejection(&self) -> bool {
        let is_rejected = |missing: &MissingResponse| missing.reason == MissingReason::Rejected;
        !self.missing.is_empty() && self.missing.iter().all(is_rejected)
    }
}

/// The missing responses; `reasons` has one item for each request, `None` if its response is not missing.
pub(crate) fn missing_responses(
    policy: &Policy,
    reasons: impl Iterator<Item = Option<MissingReason>>,
) -> Vec<MissingResponse> {
    let requests = policy.requests.iter().zip(reasons);
    let missing = requests.filter_map(|(request, reason)| {
        let (zone, name) = (request.zone.clone(), request.name.clone());
        Some(MissingResponse { zone, request: name, reason: reason? })
    });
    missing.collect()
}
