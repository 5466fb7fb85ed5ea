//! Claims of members about backends and zones, and what follows from them.
use cluster_types::{BackendId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What a claim is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A backend.
    Backend(BackendId),
    /// A zone as a whole.
    Zone(Zone),
}

impl Subject {
    /// The name of the backend or zone.
    pub fn name(&self) -> &str {
        match self {
            Subject::Backend(backend) => &backend.0,
            Subject::Zone(zone) => &zone.0,
        }
    }
}

/// The form in which the operators' status text shows it. Scripts may read it: it is independent of the type's names.
impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Backend(backend) => write!(f, "Box(BoxId({:?}))", backend.0),
            Subject::Zone(zone) => write!(f, "Hall(Hall({:?}))", zone.0),
        }
    }
}

/// What is claimed of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimKind {
    /// It doesn't answer.
    Unresponsive,
    /// It answers late.
    Slow,
    /// It answers with errors.
    Failing,
    /// It is healthy: withdraws what the same source claimed before.
    Healthy,
}

/// What this member observed itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Of what.
    pub subject: Subject,
    /// What was observed.
    pub kind: ClaimKind,
    /// How certain it is, from 0 to 1.
    pub confidence: f32,
    /// How long the claim counts.
    pub valid_for: Duration,
}

/// What the live members claim of a subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The sum of the claims' confidence over the number of live members: 0 to 1.
    pub score: f32,
    /// The number of live members that claim it is not healthy.
    pub sources: usize,
    /// The age of the newest claim.
    pub newest_age: Option<Duration>,
    /// The number of claims of each kind.
    pub kinds: BTreeMap<ClaimKind, usize>,
}

/// A backend that should get a small share of its usual traffic only.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The backend.
    pub backend: BackendId,
    /// The score of its verdict.
    pub score: f32,
    /// The share of its usual traffic that it still gets, so that a recovery is noticed.
    pub traffic_share: f32,
}
