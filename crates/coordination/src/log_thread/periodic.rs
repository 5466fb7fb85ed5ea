//! Periodic work: sends measurements to the leader, sends commands again that are not in the log, and makes the leader's next
//! proposals.
use crate::frame::Frame;
use crate::log_thread::maintenance_host::NO_TICKET;
use crate::log_thread::received_measurements::ReceivedMeasurements;
use crate::log_thread::thread::LogThread;
use crate::measurements::{time_before, Measurements};
use crate::state_machine::Command;
use cluster_types::Time;
use consensus::Role;
use maintenance::{Event, MemberStatus, Presence};
use std::time::Duration;

/// How often a command that is not in the log is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// How often a member reports its measurements to the leader and requests its lease.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

impl LogThread {
    /// Records the measurements of this gateway.
    pub(crate) fn record_own_measurements(&mut self, now: Time, measurements: Measurements) {
        for (backend, measured) in &measurements.backends {
            let last_send = measured.since_last_send_us.map(|span_us| time_before(now, span_us));
            let (backend, in_flight) = (backend.clone(), measured.in_flight);
            let event = Event::InFlight { backend, in_flight, last_send, measured_at: now };
            self.handle_agent_event(now, event);
        }
        let applied_index = self.state.applied_index;
        let measured = ReceivedMeasurements { received_at: now, applied_index, measurements };
        self.latest_measurements.insert(self.settings.own_id.clone(), measured);
    }

    pub(crate) fn run_periodic(&mut self, now: Time) {
        self.announce_presence(now);
        self.resend_pending(now);
        if now.since(self.last_runs.measurements) >= REPORT_INTERVAL {
            self.last_runs.measurements = now;
            self.request_lease(now);
        }
        // No more often than measurements arrive, because slightly different figures would lead to a new proposal each time.
        let is_due = now.since(self.last_runs.proposals) >= REPORT_INTERVAL;
        if is_due && self.raft.role() == Role::Leader && self.raft.lease_expiry(now).is_some() {
            self.last_runs.proposals = now;
            self.propose_next(now);
        }
    }

    /// Announces that this member is present, with the incarnation of its process.
    fn announce_presence(&mut self, now: Time) {
        let incarnation = self.process_incarnation;
        let is_known = self.state.maintenance.member_status(&self.settings.own_id)
            == Some(MemberStatus::Present { incarnation });
        let is_due = now.since(self.last_runs.presence) >= RESEND_INTERVAL;
        if !is_known && !self.is_leaving && is_due {
            self.last_runs.presence = now;
            let (member, presence) = (self.settings.own_id.clone(), Presence::Present { incarnation });
            let command = maintenance::Command::SetPresence { member, presence };
            self.send_to_leader(now, NO_TICKET, Command::Maintenance(command));
        }
    }

    fn resend_pending(&mut self, now: Time) {
        let mut due = Vec::new();
        for (ticket, pending) in &mut self.pending {
            if now.since(pending.sent_at) >= RESEND_INTERVAL {
                pending.sent_at = now;
                due.push((*ticket, pending.command.clone()));
            }
        }
        for (ticket, command) in due {
            self.send_to_leader(now, ticket, command);
        }
        self.expire_pending(now);
    }

    /// Reports the measurements to the leader and requests a lease. The leader grants itself the same lease as the others, and
    /// like theirs only while no other member can be leader.
    fn request_lease(&mut self, now: Time) {
        if self.raft.role() == Role::Leader {
            if self.raft.lease_expiry(now).is_some() {
                self.accept_lease(now, self.settings.lease);
            }
            return;
        }
        let own_measurements = self.latest_measurements.get(&self.settings.own_id);
        let (Some(leader), Some(own)) = (self.raft.leader(), own_measurements) else { return };
        let frame = Frame::Measured {
            requested_at: now.0,
            applied_index: own.applied_index,
            measurements: Box::new(own.measurements.clone()),
        };
        self.outboxes.send(leader, &frame);
    }
}
