//! The probe of the current protocol period.
use cluster_types::{MemberId, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// A probe that is waiting for an answer.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The sequence number of its pings.
    pub sequence: u32,
    /// The probed member.
    pub target: MemberId,
    /// When other members are to be asked for an indirect probe; `None` once they were asked.
    pub indirect_at: Option<Time>,
    /// The members that were asked for an indirect probe.
    pub helpers: BTreeSet<MemberId>,
    /// The helpers that reported that the target didn't answer them.
    pub nacks: BTreeSet<MemberId>,
    /// When the probe fails.
    pub deadline: Time,
}

impl Probe {
    /// A probe whose direct ping is sent now.
    pub fn new(sequence: u32, target: MemberId, indirect_at: Time, deadline: Time) -> Probe {
        let (helpers, nacks) = (BTreeSet::new(), BTreeSet::new());
        Probe { sequence, target, indirect_at: Some(indirect_at), helpers, nacks, deadline }
    }

    /// When the next step of the probe is due.
    pub fn next_deadline(&self) -> Time {
        self.indirect_at.unwrap_or(self.deadline)
    }

    /// Whether the indirect probe is due.
    pub fn is_indirect_due(&self, now: Time) -> bool {
        self.indirect_at.is_some_and(|at| at <= now)
    }

    /// Whether both the direct and the indirect probe have failed.
    pub fn has_failed(&self, now: Time) -> bool {
        self.indirect_at.is_none() && self.deadline <= now
    }

    /// Whether so few helpers sent a nack that this member itself may be isolated.
    pub fn suggests_local_fault(&self) -> bool {
        self.nacks.len() * 2 < self.helpers.len() || self.helpers.is_empty()
    }

    pub fn postpone(&mut self, span: Duration) {
        self.indirect_at = self.indirect_at.map(|at| at + span);
        self.deadline = self.deadline + span;
    }
}
