//! Measures on the leader how long each recovering backend has been healthy at its stage.
use crate::state::MaintenanceState;
use cluster_types::{BackendId, Index, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The time since a backend was first observed healthy at a stage.
#[derive(Clone, Copy, Debug)]
struct HealthySpan {
    /// The first step of the stage.
    stage_start: Index,
    since: Time,
}

/// Times recovery stages on the leader's monotonic clock: after a change of leader, or a jump of its Unix time, a stage
/// may last longer than configured but never less.
#[derive(Clone, Debug, Default)]
pub struct StageTimer {
    spans: BTreeMap<BackendId, HealthySpan>,
}

impl StageTimer {
    /// An empty timer. A member that becomes the leader starts with a new one.
    pub fn new() -> StageTimer {
        StageTimer::default()
    }

    /// Updates the spans from the recoveries of the state. `failing` are the backends at which some member has observed a
    /// failure since the last call: their spans restart.
    pub fn update(&mut self, now: Time, state: &MaintenanceState, failing: &BTreeSet<BackendId>) {
        let mut spans = BTreeMap::new();
        for (backend, recovery) in state.recoveries() {
            let stage_start = recovery.stage_start();
            let same_stage = self.spans.get(backend).filter(|span| span.stage_start == stage_start);
            let unbroken = same_stage.filter(|_| !failing.contains(backend)).copied();
            spans.insert(backend.clone(), unbroken.unwrap_or(HealthySpan { stage_start, since: now }));
        }
        self.spans = spans;
    }

    /// How long each recovering backend has been healthy at its stage, in milliseconds.
    pub fn healthy_ms(&self, now: Time) -> BTreeMap<BackendId, u64> {
        let elapsed_ms = |since: Time| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        self.spans.iter().map(|(backend, span)| (backend.clone(), elapsed_ms(span.since))).collect()
    }
}
