//! How the agent reports that it has carried out an order.
use super::tracked::{AppliedOrder, TrackedBackend};
use super::{Action, MemberAgent, Report, REPORT_RETRY};
use cluster_types::{BackendId, Index, Time};
use std::collections::BTreeSet;

impl TrackedBackend {
    /// Whether the report is not in the log and is due to be sent, for the first time or again.
    fn is_report_due(&self, now: Time) -> bool {
        !self.is_reported && self.reported_at.is_none_or(|reported_at| now >= reported_at + REPORT_RETRY)
    }
}

impl MemberAgent {
    /// Records the requests in flight at a drained backend.
    pub(super) fn record_in_flight(
        &mut self,
        now: Time,
        backend: &BackendId,
        in_flight: u32,
        last_send: Option<Time>,
        measured_at: Time,
        actions: &mut Vec<Action>,
    ) {
        let tracked = self.backends.get_mut(backend).filter(|tracked| tracked.order.is_drained());
        let Some(tracked) = tracked else { return };
        if measured_at > now || tracked.measured_at.is_some_and(|known| measured_at < known) {
            self.stale_inputs += 1;
            return;
        }
        tracked.measured_at = Some(measured_at);
        if last_send.is_some_and(|sent| sent > tracked.ordered_at + self.drain_delay) {
            // The scheduler has sent a request after the drain delay: it is notified again, and the delay restarts.
            self.late_sends += 1;
            tracked.ordered_at = now;
            actions.push(Action::for_order(tracked.order, backend));
        }
        tracked.is_idle = in_flight == 0 && measured_at >= tracked.ordered_at + self.drain_delay;
    }

    /// Reports the orders that are carried out and whose report is not in the log. A drain is complete once the order is on
    /// disk, since it must survive a restart, and once no request is in flight after the end of the drain delay.
    pub(super) fn report(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.report_drained_grants(now, actions);
        self.report_stages(now, actions);
    }

    fn report_drained_grants(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due = self.backends.values().filter(|tracked| tracked.is_report_due(now));
        let grants: BTreeSet<Index> = due.filter_map(|tracked| tracked.order.grant()).collect();
        for grant in grants {
            let backends = self.backends.values_mut();
            let mut backends: Vec<&mut TrackedBackend> =
                backends.filter(|tracked| tracked.order.grant() == Some(grant)).collect();
            let is_drained =
                |tracked: &&mut TrackedBackend| tracked.is_idle && tracked.serial <= self.persisted_serial;
            if backends.iter().all(is_drained) {
                for tracked in &mut backends {
                    tracked.reported_at = Some(now);
                }
                actions.push(Action::Report(Report::Drained { grant }));
            }
        }
    }

    fn report_stages(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (backend, tracked) in &mut self.backends {
            let AppliedOrder::Ramp(step, _) = tracked.order else { continue };
            let is_persisted = tracked.serial <= self.persisted_serial;
            let is_in_effect = now >= tracked.ordered_at + self.drain_delay;
            if tracked.is_report_due(now) && is_persisted && is_in_effect {
                tracked.reported_at = Some(now);
                let report = Report::StageAcknowledged { backend: backend.clone(), step };
                actions.push(Action::Report(report));
            }
        }
    }
}
