//! Claims of members about the health of backends and zones, and the decisions derived from them.
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

/// The format of the operators' status text. Scripts may parse it, so it doesn't depend on the names of the Rust types.
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

/// An observation that this member made itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// What was observed.
    pub subject: Subject,
    /// The observed condition.
    pub kind: ClaimKind,
    /// The confidence, from 0 to 1.
    pub confidence: f32,
    /// How long the resulting claim is valid.
    pub valid_for: Duration,
}

/// The aggregated claims of the live members about a subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The sum of the claims' confidences, divided by the number of live members: 0 to 1.
    pub score: f32,
    /// The number of live members that claim it is not healthy.
    pub sources: usize,
    /// The age of the newest claim.
    pub newest_age: Option<Duration>,
    /// The number of claims of each kind.
    pub kinds: BTreeMap<ClaimKind, usize>,
}

/// A backend that should receive only a small share of its usual traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The backend.
    pub backend: BackendId,
    /// The score of its verdict.
    pub score: f32,
    /// The share of its usual traffic that it still receives, so that a recovery is detected.
    pub traffic_share: f32,
}
