//! The pings that may still be answered.
use cluster_types::{MemberId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The bound of unanswered pings.
const MAX_PENDING: usize = 128;

/// Why a ping was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum PingReason {
    /// The probe of this period.
    Probe,
    /// Another member asked for an indirect probe.
    Requested {
        /// The asking member.
        by: MemberId,
        /// Its sequence number of the probe.
        sequence: u32,
    },
    /// To reach a member again that was held dead.
    Reconnect,
}

/// A ping that may still be answered.
#[derive(Clone, Debug)]
pub struct Ping {
    /// The member that was pinged.
    pub target: MemberId,
    /// Why it was pinged.
    pub reason: PingReason,
    deadline: Time,
}

/// The unanswered pings by sequence number.
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

    /// Ends a ping that was answered, and returns why it was sent; `None` if none of that number to that member is pending.
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

    /// Removes the pings whose deadline has passed, and returns them by sequence number.
    pub fn take_expired(&mut self, now: Time) -> Vec<Ping> {
        let expired = self.pings.iter().filter(|(_, ping)| ping.deadline <= now);
        let expired: Vec<u32> = expired.map(|(sequence, _)| *sequence).collect();
        expired.iter().filter_map(|sequence| self.pings.remove(sequence)).collect()
    }
}
