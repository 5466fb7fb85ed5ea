//! The repeated announcement that this member leaves.
use cluster_types::Time;
use std::time::Duration;

/// How many times the announcement is sent.
const REPEATS: u32 = 4;

/// The interval between two announcements.
const INTERVAL: Duration = Duration::from_millis(200);

/// The progress of the announcement.
#[derive(Clone, Debug)]
pub struct LeaveAnnouncement {
    remaining: u32,
    next_at: Time,
}

impl LeaveAnnouncement {
    /// An announcement that begins now.
    pub fn new(now: Time) -> LeaveAnnouncement {
        LeaveAnnouncement { remaining: REPEATS, next_at: now }
    }

    /// When it is due next, or `None` if it is finished.
    pub fn next_at(&self) -> Option<Time> {
        (!self.is_finished()).then_some(self.next_at)
    }

    pub fn is_finished(&self) -> bool {
        self.remaining == 0
    }

    /// Returns whether it is due now and, if so, counts it as sent.
    pub fn take_due(&mut self, now: Time) -> bool {
        let due = self.next_at().is_some_and(|at| at <= now);
        if due {
            self.remaining -= 1;
            self.next_at = now + INTERVAL;
        }
        due
    }
}
