//! The leader's own proposals.
use crate::clock::unix_time_ms;
use crate::log_thread::facts::{failing_backends, maintenance_view};
use crate::log_thread::maintenance_host::NO_TICKET;
use crate::log_thread::received_measurements::ReceivedMeasurements;
use crate::log_thread::thread::LogThread;
use crate::state_machine::Command;
use cluster_types::{MemberId, Time};
use std::time::Duration;

/// Measurements older than this are ignored.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(3);
/// The time after which a proposal without outcome is given up, so that it can be made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

impl LogThread {
    /// Proposes the next steps of planned maintenance, once the previous ones are committed.
    pub(crate) fn propose_next(&mut self, now: Time) {
        self.proposed.retain(|_, at| now.since(*at) < PROPOSAL_TIMEOUT);
        if !self.proposed.is_empty() {
            return;
        }
        let failing = failing_backends(self.recent_measurements(now));
        self.stage_timer.update(now, &self.state.maintenance, &failing);
        let commands = if *self.state.maintenance.rules() == self.settings.rules {
            let view = maintenance_view(
                self.recent_measurements(now),
                self.stage_timer.healthy_ms(now),
                self.state.applied_index,
                &self.state.maintenance,
            );
            self.state.maintenance.propose(unix_time_ms(), &view)
        } else {
            vec![maintenance::Command::SetRules(self.settings.rules.clone())]
        };
        let own_id = self.settings.own_id.clone();
        for command in commands {
            self.propose(now, own_id.clone(), NO_TICKET, Command::Maintenance(command));
        }
    }

    fn recent_measurements(&self, now: Time) -> impl Iterator<Item = (&MemberId, &ReceivedMeasurements)> {
        let is_recent =
            move |measured: &ReceivedMeasurements| now.since(measured.received_at) < MAX_MEASUREMENT_AGE;
        self.latest_measurements.iter().filter(move |(_, measured)| is_recent(measured))
    }
}
