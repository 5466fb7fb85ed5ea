//! The one answer of a gather.
use crate::memory::Held;
use crate::policy::Policy;
use cluster_types::Zone;
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// Why a part is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// It did not come in time.
    Late,
    /// Its hall is cut off: it was not asked, or not waited for to the end.
    CutOff,
    /// It was turned away; nothing ran.
    Refused,
    /// It failed, with the reason.
    Failed(Cow<'static, str>),
}

/// A part that is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Its hall.
    pub hall: Zone,
    /// Its name.
    pub part: Arc<str>,
    /// Why.
    pub why: Why,
}

/// What a gather gives.
#[derive(Debug)]
pub enum Answer<V> {
    /// Values, whole or in part.
    Gathered(Gathered<V>),
    /// No answer.
    Failed(Failure),
}

/// The values that came. Whether they are whole is never stored: it is what the slots say.
#[derive(Debug)]
pub struct Gathered<V> {
    policy: Arc<Policy>,
    slots: Vec<Result<(V, Held), Why>>,
}

impl<V> Gathered<V> {
    /// One slot for each part, in the tier's order. A slot too few counts as a missing part.
    pub(crate) fn new(policy: Arc<Policy>, mut slots: Vec<Result<(V, Held), Why>>) -> Gathered<V> {
        slots.resize_with(policy.parts.len(), || Err(Why::Late));
        Gathered { policy, slots }
    }

    /// Whether no part is missing.
    pub fn whole(&self) -> bool {
        !self.slots.is_empty() && self.slots.iter().all(Result::is_ok)
    }

    /// Each part's name and value in the tier's order, none where it is missing.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, Option<&V>)> {
        let values = self.slots.iter().map(|s| s.as_ref().ok().map(|(value, _)| value));
        self.policy.parts.iter().map(|p| &p.name).zip(values)
    }

    /// The parts that are missing, in the tier's order.
    pub fn missing(&self) -> Vec<Missing> {
        let why = |s: &Result<(V, Held), Why>| s.as_ref().err().cloned();
        listed(&self.policy, self.slots.iter().map(why))
    }

    /// The values with the memory that they hold, for a wire that puts them out one by one.
    pub fn into_values(self) -> Vec<Option<(V, Held)>> {
        self.slots.into_iter().map(Result::ok).collect()
    }

    /// The values joined in the tier's order; none where one is missing, for what follows it would stand in its place.
    pub fn joined(&self) -> Option<Vec<u8>>
    where
        V: AsRef<[u8]>,
    {
        let parts: Option<Vec<&[u8]>> =
            self.slots.iter().map(|s| s.as_ref().ok().map(|(value, _)| value.as_ref())).collect();
        parts.filter(|p| !p.is_empty()).map(|p| p.concat())
    }

    /// The bytes that it holds of the budget.
    pub fn held(&self) -> u64 {
        self.slots.iter().flatten().map(|(_, held)| held.bytes()).sum()
    }
}

/// Why a gather failed as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A part without which nothing is an answer won't come.
    Named(Arc<str>),
    /// Too few parts come.
    TooFew,
}

/// An honest failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What it failed on.
    pub cause: Cause,
    /// The parts that won't come. Those that were still waited for when it failed are not among them.
    pub missing: Vec<Missing>,
    /// When it may be worth another try, where refused parts said so.
    pub hint: Option<Duration>,
}

impl Failure {
    /// Whether all that is missing was turned away, so that the front may turn its client away as well.
    pub fn turned_away(&self) -> bool {
        !self.missing.is_empty() && self.missing.iter().all(|m| m.why == Why::Refused)
    }
}

pub(crate) fn listed(policy: &Policy, why: impl Iterator<Item = Option<Why>>) -> Vec<Missing> {
    let missing = |(part, why): (&crate::policy::Part, Option<Why>)| {
        Some(Missing { hall: part.hall.clone(), part: part.name.clone(), why: why? })
    };
    policy.parts.iter().zip(why).filter_map(missing).collect()
}
