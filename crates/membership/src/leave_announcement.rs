//! The announcement of this member that it leaves, repeated a few times.
use cluster_types::Time;
use std::time::Duration;

/// How many times the announcement is sent.
const REPEATS: u32 = 4;

/// The span between two of them.
const INTERVAL: Duration = Duration::from_millis(200);

/// How far the announcement has got.
#[derive(Clone, Debug)]
pub struct LeaveAnnouncement {
    remaining: u32,
    next_at: Time,
}

impl LeaveAnnouncement {
    /// One that begins now.
    pub fn new(now: Time) -> LeaveAnnouncement {
        LeaveAnnouncement { remaining: REPEATS, next_at: now }
    }

    /// When it is to be sent next, unless it was sent often enough.
    pub fn next_at(&self) -> Option<Time> {
        (!self.is_finished()).then_some(self.next_at)
    }

    pub fn is_finished(&self) -> bool {
        self.remaining == 0
    }

    /// Whether it is to be sent now; counts it as sent then.
    pub fn take_due(&mut self, now: Time) -> bool {
        let due = self.next_at().is_some_and(|at| at <= now);
        if due {
            self.remaining -= 1;
            self.next_at = now + INTERVAL;
        }
        due
    }
}
