//! Combines the measurements of all members for the leader.
use crate::log_thread::received_measurements::ReceivedMeasurements;
use crate::measurements::{BackendMeasurement, VolumeMeasurement};
use cluster_types::{BackendId, Index, MemberId, Volume};
use maintenance::{BackendFacts, ClusterView, MaintenanceState};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the backends at which an attempt has failed since the last reports.
pub(crate) fn failing_backends<'a>(
    measured: impl Iterator<Item = (&'a MemberId, &'a ReceivedMeasurements)>,
) -> BTreeSet<BackendId> {
    let backends = measured.flat_map(|(_, measured)| &measured.measurements.backends);
    backends.filter(|(_, backend)| backend.has_failed).map(|(id, _)| id.clone()).collect()
}

/// The number of members that report on a backend, and of those that consider it dead.
#[derive(Clone, Copy, Default)]
struct Reports {
    all: usize,
    dead: usize,
}

/// Combines the measurements of several members.
#[derive(Default)]
struct Combined {
    view: ClusterView,
    reports: BTreeMap<BackendId, Reports>,
}

impl Combined {
    fn add_backend(&mut self, member: &MemberId, id: &BackendId, measured: &BackendMeasurement) {
        let new_fact = || BackendFacts {
            zone: measured.zone.clone(),
            is_listed: false,
            has_failed: false,
            is_warming_up: false,
        };
        let fact = self.view.backends.entry(id.clone()).or_insert_with(new_fact);
        fact.is_listed |= measured.is_listed;
        fact.is_warming_up |= measured.is_warming_up;
        let reports = self.reports.entry(id.clone()).or_default();
        reports.all += 1;
        reports.dead += usize::from(measured.is_dead);
        if measured.units > 0 {
            // Rounded up to a power of two, so that small changes do not cause the quotas of a stage to be divided again.
            let units = measured.units.next_power_of_two();
            self.view.traffic.entry(id.clone()).or_default().insert(member.clone(), units);
        }
    }

    fn add_volume(&mut self, volume: &Volume, measured: &VolumeMeasurement) {
        let fact = self.view.volumes.entry(volume.clone()).or_default();
        fact.reserved += measured.used;
        for (id, servable) in &measured.servable_by {
            *fact.backends.entry(id.clone()).or_default() += servable;
        }
    }
}

/// Combines the measurements of all members. A backend counts as listed, or as warming up, if one member reports it so, and as
/// failed if more than half of the reporting members consider it dead.
pub(crate) fn maintenance_view<'a>(
    measured: impl Iterator<Item = (&'a MemberId, &'a ReceivedMeasurements)>,
    healthy_ms: BTreeMap<BackendId, u64>,
    applied_index: Index,
    maintenance: &MaintenanceState,
) -> ClusterView {
    let view = ClusterView { healthy_ms, min_applied: applied_index, ..ClusterView::default() };
    let mut combined = Combined { view, ..Combined::default() };
    let (mut is_complete, mut max_reservation) = (true, 0);
    let mut reporting = BTreeSet::new();
    for (member, measured) in measured {
        reporting.insert(member.clone());
        combined.view.min_applied = combined.view.min_applied.min(measured.applied_index);
        let measurements = &measured.measurements;
        is_complete &= measurements.is_complete;
        max_reservation = max_reservation.max(measurements.max_reservation);
        for (id, backend) in &measurements.backends {
            combined.add_backend(member, id, backend);
        }
        for (id, volume) in &measurements.volumes {
            combined.add_volume(id, volume);
        }
    }
    let Combined { mut view, reports } = combined;
    for (id, Reports { all, dead }) in reports {
        if let Some(fact) = view.backends.get_mut(&id) {
            fact.has_failed = 2 * dead > all;
        }
    }
    // A volume needs at most its reservation, and at most what it uses: capacity that it does not use cannot be missing.
    for fact in view.volumes.values_mut() {
        fact.reserved = fact.reserved.min(max_reservation);
    }
    view.is_complete = is_complete && maintenance.present_members().all(|member| reporting.contains(member));
    view
}
