//! The pings that are waiting for an answer.
use cluster_types::{MemberId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of pending pings.
const MAX_PENDING: usize = 128;

/// Why a ping was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum PingReason {
    /// It is the direct probe of this period.
    Probe,
    /// Another member requested an indirect probe.
    Requested {
        /// The requesting member.
        by: MemberId,
        /// The sequence number of the request.
        sequence: u32,
    },
    /// It is an attempt to reach a dead member.
    Reconnect,
}

/// A ping that is waiting for an answer.
#[derive(Clone, Debug)]
pub struct Ping {
    /// The pinged member.
    pub target: MemberId,
    /// Why the ping was sent.
    pub reason: PingReason,
    deadline: Time,
}

/// The pending pings by sequence number.
#[derive(Clone, Debug, Default)]
pub struct PendingPings {
    pings: BTreeMap<u32, Ping>,
    last_sequence: u32,
}

impl PendingPings {
    /// Registers a ping and returns its sequence number, or `None` if too many are pending.
    pub fn start(&mut self, target: &MemberId, reason: PingReason, deadline: Time) -> Option<u32> {
        if self.pings.len() >= MAX_PENDING {
            return None;
        }
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.pings.insert(self.last_sequence, Ping { target: target.clone(), reason, deadline });
        Some(self.last_sequence)
    }

    /// Removes an answered ping, and returns why it was sent. Returns `None` if there is no pending ping with this sequence
    /// number to this member.
    pub fn finish(&mut self, sequence: u32, answered_by: &MemberId) -> Option<PingReason> {
        self.pings.get(&sequence).filter(|ping| ping.target == *answered_by)?;
        self.pings.remove(&sequence).map(|ping| ping.reason)
    }

    /// When the next ping expires.
    pub fn next_deadline(&self) -> Option<Time> {
        self.pings.values().map(|ping| ping.deadline).min()
    }

    pub fn postpone(&mut self, span: Duration) {
        self.pings.values_mut().for_each(|ping| ping.deadline = ping.deadline + span);
    }

    /// Removes the pings whose deadline has passed, and returns them in the order of their sequence numbers.
    pub fn take_expired(&mut self, now: Time) -> Vec<Ping> {
        let expired = self.pings.iter().filter(|(_, ping)| ping.deadline <= now);
        let expired: Vec<u32> = expired.map(|(sequence, _)| *sequence).collect();
        expired.iter().filter_map(|sequence| self.pings.remove(sequence)).collect()
    }
}
