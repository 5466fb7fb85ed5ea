//! Handles frames, and sends commands to the leader.
use crate::clock::unix_time_ms;
use crate::frame::Frame;
use crate::log_thread::pending_command::PendingCommand;
use crate::log_thread::received_measurements::ReceivedMeasurements;
use crate::log_thread::thread::LogThread;
use crate::operator_call::ResponseSender;
use crate::state_machine::{Command, Entry};
use cluster_types::{MemberId, Time};
use consensus::Role;
use std::time::Duration;

impl LogThread {
    pub(crate) fn handle_frame(&mut self, now: Time, from: MemberId, frame: Frame) {
        match frame {
            Frame::Hello => {}
            Frame::Log { incarnation, message } => {
                self.handle_raft_event(consensus::Event::Message { from, incarnation, message });
            }
            Frame::Forward { ticket, command } => self.propose(now, from, ticket, command),
            Frame::Measured { requested_at, applied_index, measurements } => {
                let measured =
                    ReceivedMeasurements { received_at: now, applied_index, measurements: *measurements };
                self.latest_measurements.insert(from.clone(), measured);
                self.grant_lease(now, &from, requested_at);
            }
            Frame::Reports(reports) => self.forward_reports(reports),
            Frame::Lease { requested_at, span_us } => {
                self.accept_lease(Time(requested_at), Duration::from_micros(span_us));
            }
        }
    }

    /// Grants a member a lease, but only while no other member can be leader: an isolated leader must not continue to grant
    /// leases.
    fn grant_lease(&mut self, now: Time, to: &MemberId, requested_at: u64) {
        if self.raft.lease_expiry(now).is_none() {
            return;
        }
        let span = self.settings.lease;
        self.granted_leases.insert(to.clone(), now + span);
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.outboxes.send(to, &Frame::Lease { requested_at, span_us });
    }

    /// Accepts a lease. It starts at the time of the request by this member's clock, and is shortened by the maximum clock drift.
    pub(crate) fn accept_lease(&mut self, requested_at: Time, span: Duration) {
        let span = span.min(self.settings.lease).mul_f64(1.0 - self.settings.max_clock_drift);
        let until = requested_at + span;
        let now = self.clock.now();
        self.handle_agent_event(now, maintenance::Event::LeaseRenewed { until });
    }

    /// Proposes a command, if this member is the leader.
    pub(crate) fn propose(&mut self, now: Time, by: MemberId, ticket: u64, command: Command) {
        if self.raft.role() != Role::Leader {
            return;
        }
        let entry = Entry { at_ms: unix_time_ms(), by, ticket, command };
        let Ok(data) = postcard::to_stdvec(&entry) else { return };
        self.last_ticket += 1;
        self.proposed.insert(self.last_ticket, now);
        let event = consensus::Event::Propose { ticket: self.last_ticket, data: data.into() };
        self.handle_raft_event(event);
    }

    /// Submits a command of this member, which is sent to the leader repeatedly until it is in the log or expires.
    pub(crate) fn submit(&mut self, now: Time, command: Command, respond_to: Option<ResponseSender>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let pending = PendingCommand { command: command.clone(), created_at: now, sent_at: now, respond_to };
        self.pending.insert(ticket, pending);
        self.send_to_leader(now, ticket, command);
    }

    /// Sends a command to the leader, if one is known.
    pub(crate) fn send_to_leader(&mut self, now: Time, ticket: u64, command: Command) {
        if self.raft.role() == Role::Leader {
            let own_id = self.settings.own_id.clone();
            self.propose(now, own_id, ticket, command);
        } else if let Some(leader) = self.raft.leader() {
            self.outboxes.send(leader, &Frame::Forward { ticket, command });
        }
    }
}
