//! Admission control: whether a batch may be taken out of service now.
mod out_of_service;
mod queue_order;

pub(crate) use out_of_service::OutOfServiceSet;

use crate::rejection::Rejection;
use crate::request::Batch;
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::Index;

/// A batch that waits for other backends to return, with the log index and name of its request.
struct QueuedBatch<'a> {
    request: Index,
    name: &'a str,
    batch: Batch,
}

/// Checks batches against one state. It only uses replicated data, since the proposer is not trusted.
pub(crate) struct AdmissionCheck<'a> {
    state: &'a MaintenanceState,
    /// All backends that count as out of service.
    all_out: OutOfServiceSet<'a>,
    /// Only the backends that are granted or recovering.
    granted_out: OutOfServiceSet<'a>,
    /// Waiting batches, the longest-waiting first.
    queue: Vec<QueuedBatch<'a>>,
}

impl<'a> AdmissionCheck<'a> {
    pub(crate) fn new(state: &'a MaintenanceState) -> AdmissionCheck<'a> {
        let all_out = OutOfServiceSet::all(state);
        AdmissionCheck {
            state,
            queue: build_queue(state, &all_out),
            granted_out: OutOfServiceSet::granted(state),
            all_out,
        }
    }

    /// Whether a batch of the named request may be granted now.
    pub(crate) fn admit(&self, name: &str, batch: &Batch) -> Result<(), Rejection> {
        let request = self.state.requests.get(name).ok_or(Rejection::NotFound)?;
        if !request.waiting_batches().contains(batch) {
            return Err(Rejection::Superseded);
        }
        self.check_backends(batch)?;
        if self.state.present_members().next().is_none() {
            return Err(Rejection::NoMemberPresent);
        }
        self.all_out
            .admit_now(batch)
            .and_then(|()| self.granted_out.admit_now(batch))
            .map_err(Rejection::BoundExceeded)?;
        if !self.has_recent_measurements(batch) {
            return Err(Rejection::StaleMeasurements);
        }
        let mut older = self.queue.iter().take_while(|queued| queued.request < request.index);
        match older.find(|queued| self.must_wait_for(&queued.batch, batch)) {
            Some(queued) => Err(Rejection::QueuedBehind(queued.name.into())),
            None => Ok(()),
        }
    }

    fn check_backends(&self, batch: &Batch) -> Result<(), Rejection> {
        for backend in batch {
            let facts = self.state.facts.backend(backend).filter(|facts| facts.is_listed);
            let facts = facts.ok_or_else(|| Rejection::NotListed(backend.clone()))?;
            match self.state.phases.get(backend) {
                None => {}
                Some(MaintenancePhase::Recovering(_)) if facts.has_failed => {}
                Some(_) => return Err(Rejection::UnderMaintenance(backend.clone())),
            }
        }
        Ok(())
    }

    /// Whether the facts that a grant of the batch depends on are recent enough.
    fn has_recent_measurements(&self, batch: &Batch) -> bool {
        let state = self.state;
        let is_recent =
            |at_ms: u64| at_ms.saturating_add(state.rules.max_measurement_age_ms) >= state.log_time_ms;
        let mut volumes = batch.iter().flat_map(|backend| state.facts.volumes_of(backend));
        state.facts.complete_at_ms.is_some_and(is_recent)
            && volumes.all(|(_, volume)| is_recent(volume.measured_at_ms))
    }

    /// Whether `younger` has to wait for `older`. This prevents a stream of younger requests from starving an older one:
    /// whatever is granted in the meantime, `older` is granted as early as it would have been without it.
    fn must_wait_for(&self, older: &Batch, younger: &Batch) -> bool {
        !older.is_disjoint(younger)
            || self.all_out.is_delayed_by(older, younger)
            || self.granted_out.is_delayed_by(older, younger)
    }
}

/// The batches that wait for backends to return, the longest-waiting first. A batch that could not be granted even after
/// all temporarily unavailable backends have returned (a backend has failed, or its volume has too little capacity) is left
/// out and delays no other.
fn build_queue<'a>(state: &'a MaintenanceState, all_out: &OutOfServiceSet) -> Vec<QueuedBatch<'a>> {
    let mut queue = Vec::new();
    for (name, request) in state.open_requests() {
        for batch in request.waiting_batches() {
            if all_out.admits_eventually(&batch) {
                queue.push(QueuedBatch { request: request.index, name, batch });
            }
        }
    }
    queue
}
