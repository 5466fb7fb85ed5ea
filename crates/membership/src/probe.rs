//! The probe of the current protocol period.
use cluster_types::{MemberId, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// A probe that wasn't answered yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The sequence number of its pings.
    pub sequence: u32,
    /// The member that is probed.
    pub target: MemberId,
    /// When other members are asked to probe the target; none: they were.
    pub indirect_at: Option<Time>,
    /// The members that were asked.
    pub helpers: BTreeSet<MemberId>,
    /// Those of them that answered that the target didn't answer.
    pub nacks: BTreeSet<MemberId>,
    /// When it fails.
    pub deadline: Time,
}

impl Probe {
    /// A probe whose direct ping is sent now.
    pub fn new(sequence: u32, target: MemberId, indirect_at: Time, deadline: Time) -> Probe {
        let (helpers, nacks) = (BTreeSet::new(), BTreeSet::new());
        Probe { sequence, target, indirect_at: Some(indirect_at), helpers, nacks, deadline }
    }

    /// When it needs attention next.
    pub fn next_deadline(&self) -> Time {
        self.indirect_at.unwrap_or(self.deadline)
    }

    /// Whether other members are to be asked now.
    pub fn is_indirect_due(&self, now: Time) -> bool {
        self.indirect_at.is_some_and(|at| at <= now)
    }

    /// Whether it failed, direct and indirect.
    pub fn has_failed(&self, now: Time) -> bool {
        self.indirect_at.is_none() && self.deadline <= now
    }

    /// Whether so few of the helpers sent a nack that this member itself may be cut off.
    pub fn suggests_local_fault(&self) -> bool {
        self.nacks.len() * 2 < self.helpers.len() || self.helpers.is_empty()
    }

    pub fn postpone(&mut self, span: Duration) {
        self.indirect_at = self.indirect_at.map(|at| at + span);
        self.deadline = self.deadline + span;
    }
}
