//! A maintenance request of an operator and the outcome for each of its backends.
use cluster_types::{BackendId, Index};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Backends that are taken out of service together, in one grant.
pub(crate) type Batch = BTreeSet<BackendId>;

/// What has become of a backend of a request. Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendOutcome {
    /// It waits for a grant.
    Waiting,
    /// It is out of service under the grant with this log index.
    Granted(Index),
    /// It was granted, and the operator has returned it.
    Returned,
    /// It was not granted before the request's deadline, and will not be.
    DeadlineMissed,
    /// The request was withdrawn before the backend was granted.
    Withdrawn,
    /// Discovery stopped listing it before it was granted.
    Unlisted,
}

impl BackendOutcome {
    /// Whether the request still waits for something to happen to the backend.
    pub fn is_open(&self) -> bool {
        matches!(self, BackendOutcome::Waiting | BackendOutcome::Granted(_))
    }
}

impl fmt::Display for BackendOutcome {
    /// The wording of the operators' interface, which its clients parse.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BackendOutcome::Waiting => f.write_str("waiting"),
            BackendOutcome::Granted(grant) => write!(f, "out(index({}))", grant.0),
            BackendOutcome::Returned => f.write_str("back"),
            BackendOutcome::DeadlineMissed => f.write_str("missed"),
            BackendOutcome::Withdrawn => f.write_str("withdrawn"),
            BackendOutcome::Unlisted => f.write_str("gone"),
        }
    }
}

/// A request to take backends out of service for a limited time. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    /// The log index of the request: a lower one has waited longer.
    pub index: Index,
    /// The requested backends and their outcomes.
    pub backends: BTreeMap<BackendId, BackendOutcome>,
    /// How long a backend may be out of service once the operator may open it, in milliseconds.
    pub work_ms: u64,
    /// The Unix time in milliseconds after which no backend of it is granted any more.
    pub deadline_ms: Option<u64>,
    /// Whether its backends are granted all at once or not at all.
    pub all_at_once: bool,
}

impl MaintenanceRequest {
    /// Whether both ask for the same. A name never stands for two different requests.
    pub(crate) fn asks_for_same(&self, other: &MaintenanceRequest) -> bool {
        self.backends.keys().eq(other.backends.keys())
            && self.work_ms == other.work_ms
            && self.deadline_ms == other.deadline_ms
            && self.all_at_once == other.all_at_once
    }

    /// Whether some backend is still waiting or out of service.
    pub fn is_open(&self) -> bool {
        self.backends.values().any(BackendOutcome::is_open)
    }

    /// Whether some backend waits for a grant.
    pub fn is_waiting(&self) -> bool {
        self.backends.values().any(|outcome| *outcome == BackendOutcome::Waiting)
    }

    /// Whether some backend waits although the deadline has passed at `now_ms`.
    pub(crate) fn is_deadline_missed(&self, now_ms: u64) -> bool {
        self.deadline_ms.is_some_and(|deadline_ms| deadline_ms <= now_ms) && self.is_waiting()
    }

    fn waiting_backends(&self) -> Batch {
        let waiting = self.backends.iter().filter(|(_, outcome)| **outcome == BackendOutcome::Waiting);
        waiting.map(|(backend, _)| backend.clone()).collect()
    }

    /// The batches that wait for a grant: each waiting backend by itself, or all of them at once.
    pub(crate) fn waiting_batches(&self) -> Vec<Batch> {
        let waiting = self.waiting_backends();
        if !self.all_at_once {
            return waiting.into_iter().map(|backend| BTreeSet::from([backend])).collect();
        }
        if waiting.is_empty() {
            Vec::new()
        } else {
            vec![waiting]
        }
    }

    /// Gives every waiting backend this outcome and returns them.
    pub(crate) fn end_waiting(&mut self, outcome: BackendOutcome) -> Batch {
        let waiting = self.waiting_backends();
        for backend in &waiting {
            self.backends.insert(backend.clone(), outcome);
        }
        waiting
    }
}
