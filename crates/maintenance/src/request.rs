//! An operator's maintenance request and the outcome for each of its backends.
use cluster_types::{BackendId, Index};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Backends that are taken out of service together, in one grant.
pub(crate) type Batch = BTreeSet<BackendId>;

/// The outcome so far for one backend of a request. Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendOutcome {
    /// The backend waits for a grant.
    Waiting,
    /// The backend is out of service under the grant with this log index.
    Granted(Index),
    /// The backend was granted, and the operator has returned it.
    Returned,
    /// The backend was not granted before the request's deadline.
    DeadlineMissed,
    /// The request was withdrawn before the backend was granted.
    Withdrawn,
    /// Discovery stopped listing the backend before it was granted.
    Unlisted,
}

impl BackendOutcome {
    /// Whether the backend is waiting or granted, so that the request has not ended.
    pub fn is_open(&self) -> bool {
        matches!(self, BackendOutcome::Waiting | BackendOutcome::Granted(_))
    }
}

impl fmt::Display for BackendOutcome {
    /// Writes the text of the operator interface, which its clients parse.
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
    /// The log index of the request: a request with a lower index has waited longer.
    pub index: Index,
    /// The requested backends and their outcomes.
    pub backends: BTreeMap<BackendId, BackendOutcome>,
    /// How long work on a backend may take once it is drained, in milliseconds.
    pub work_ms: u64,
    /// The Unix time in milliseconds after which no backend of the request is granted.
    pub deadline_ms: Option<u64>,
    /// Whether the backends are granted all at once or not at all.
    pub all_at_once: bool,
}

impl MaintenanceRequest {
    /// Whether both requests have the same content. A name never identifies two different requests.
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

    /// Whether some backend still waits at `now_ms` although the deadline has passed.
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

    /// Sets the outcome of all waiting backends and returns these backends.
    pub(crate) fn end_waiting(&mut self, outcome: BackendOutcome) -> Batch {
        let waiting = self.waiting_backends();
        for backend in &waiting {
            self.backends.insert(backend.clone(), outcome);
        }
        waiting
    }
}
