//! Periodic work: measurements and commands go to the leader, commands that are not in the log are sent again, and the leader
//! proposes what is next.
use crate::frame::Frame;
use crate::log_thread::maintenance_host::NO_TICKET;
use crate::log_thread::measured::Measured;
use crate::log_thread::thread::LogThread;
use crate::measurements::{time_before, Measurements};
use crate::state_machine::Command;
use cluster_types::Time;
use consensus::Role;
use maintenance::{Event, MemberStatus, Presence};
use std::time::Duration;

/// When a command that is not in the log is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// How often a member reports its measurements to the leader and requests its lease.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

impl LogThread {
    /// Takes what this gateway has measured.
    pub(crate) fn record_own_measurements(&mut self, now: Time, measurements: Measurements) {
        for (backend, measured) in &measurements.backends {
            let last_send = measured.since_last_send_us.map(|span_us| time_before(now, span_us));
            let (backend, in_flight) = (backend.clone(), measured.in_flight);
            let event = Event::InFlight { backend, in_flight, last_send, measured_at: now };
            self.handle_local_event(now, event);
        }
        let applied_index = self.state.applied_index;
        let measured = Measured { received_at: now, applied_index, measurements };
        self.measured.insert(self.settings.me.clone(), measured);
    }

    pub(crate) fn run_periodic(&mut self, now: Time) {
        self.announce_presence(now);
        self.resend_pending(now);
        if now.since(self.last_runs.measurements) >= REPORT_INTERVAL {
            self.last_runs.measurements = now;
            self.request_lease(now);
        }
        // No more often than measurements arrive: each turn would find figures that differ a little.
        let is_due = now.since(self.last_runs.proposals) >= REPORT_INTERVAL;
        if is_due && self.raft.role() == Role::Leader && self.raft.lease_expiry(now).is_some() {
            self.last_runs.proposals = now;
            self.propose_next(now);
        }
    }

    /// Announces that this member is present, under this incarnation of its process.
    fn announce_presence(&mut self, now: Time) {
        let incarnation = self.process_incarnation;
        let is_known = self.state.maintenance.member_status(&self.settings.me)
            == Some(MemberStatus::Present { incarnation });
        let is_due = now.since(self.last_runs.presence) >= RESEND_INTERVAL;
        if !is_known && !self.is_leaving && is_due {
            self.last_runs.presence = now;
            let (member, presence) = (self.settings.me.clone(), Presence::Present { incarnation });
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

    /// Reports the measurements to the leader and requests a lease. The leader gives itself what it gives the others, and like
    /// them only while no other member can lead.
    fn request_lease(&mut self, now: Time) {
        if self.raft.role() == Role::Leader {
            if self.raft.lease_expiry(now).is_some() {
                self.accept_lease(now, self.settings.lease);
            }
            return;
        }
        let own = self.measured.get(&self.settings.me);
        let (Some(leader), Some(own)) = (self.raft.leader(), own) else { return };
        let frame = Frame::Measured {
            requested_at: now.0,
            applied_index: own.applied_index,
            measurements: Box::new(own.measurements.clone()),
        };
        self.outboxes.send(leader, &frame);
    }
}
