//! The one answer of a gather.
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
    /// Its zone is ejected: no request was sent, or the response was not waited for to the end.
    ZoneEjected,
    /// The request was rejected; nothing ran.
    Rejected,
    /// The request failed, with the reason.
    Failed(Cow<'static, str>),
}

/// A response that is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingResponse {
    /// The zone of the request.
    pub zone: Zone,
    /// The name of the request.
    pub request: Arc<str>,
    /// Why.
    pub reason: MissingReason,
}

/// The answer of a gather.
#[derive(Debug)]
pub enum Answer<V> {
    /// Values, complete or partial.
    Gathered(Gathered<V>),
    /// No answer.
    Failed(Failure),
}

/// A value with the memory that is reserved for it.
#[derive(Debug)]
pub struct HeldValue<V> {
    /// The value.
    pub value: V,
    /// Its share of the memory budget, which is returned when this is dropped.
    pub reservation: Reservation,
}

/// The values that arrived. Whether they are complete is not stored: it follows from the slots.
#[derive(Debug)]
pub struct Gathered<V> {
    policy: Arc<Policy>,
    slots: Vec<Result<HeldValue<V>, MissingReason>>,
}

impl<V> Gathered<V> {
    /// One slot for each request, in the policy's order. A slot too few counts as a missing response.
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

    /// The name of each request with its value, in the policy's order; none where it is missing.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, Option<&V>)> {
        let values = self.slots.iter().map(|slot| slot.as_ref().ok().map(|held| &held.value));
        self.policy.requests.iter().map(|request| &request.name).zip(values)
    }

    /// The responses that are missing, in the policy's order.
    pub fn missing(&self) -> Vec<MissingResponse> {
        missing_responses(&self.policy, self.slots.iter().map(|slot| slot.as_ref().err().cloned()))
    }

    /// The values with the memory that they hold, for a protocol that writes them one by one.
    pub fn into_values(self) -> Vec<Option<HeldValue<V>>> {
        self.slots.into_iter().map(Result::ok).collect()
    }

    /// The values joined in the policy's order; none where one is missing, because those after it would stand in its place.
    pub fn joined(&self) -> Option<Vec<u8>>
    where
        V: AsRef<[u8]>,
    {
        let slots = self.slots.iter();
        let values: Option<Vec<&[u8]>> =
            slots.map(|slot| slot.as_ref().ok().map(|held| held.value.as_ref())).collect();
        values.filter(|values| !values.is_empty()).map(|values| values.concat())
    }

    /// The bytes that it holds of the memory budget.
    pub fn reserved_bytes(&self) -> u64 {
        self.slots.iter().flatten().map(|held| held.reservation.bytes()).sum()
    }
}

/// What a gather failed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The response to a required request won't arrive.
    RequiredMissing(Arc<str>),
    /// Too few responses arrive.
    TooFew,
}

/// A gather without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What it failed on.
    pub cause: Cause,
    /// The responses that won't arrive. Those that were still waited for when it failed are not among them.
    pub missing: Vec<MissingResponse>,
    /// When a retry may be worthwhile, where rejected requests were told so.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Whether all that is missing was rejected, so that the client may be rejected as well.
    pub fn is_rejection(&self) -> bool {
        let is_rejected = |missing: &MissingResponse| missing.reason == MissingReason::Rejected;
        !self.missing.is_empty() && self.missing.iter().all(is_rejected)
    }
}

/// The missing responses, from the reason of each request that has one.
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
