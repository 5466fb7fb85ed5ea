//! Messages and processor time of a cluster, and the reason why a run stops.

/// Why a run stopped early.
#[derive(Debug, thiserror::Error)]
pub enum StopReason {
    /// The real-time limit has passed.
    #[error("the time limit of the run passed at {0} us of simulated time")]
    DeadlinePassed(u64),
    /// The simulated time limit has passed.
    #[error("{0} after {1} us of simulated time")]
    TimedOut(&'static str, u64),
}

/// Messages and processor time of members so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Simulated time.
    pub span_us: u64,
    /// Messages of all members.
    pub messages: u64,
    /// Their bytes, sealed.
    pub bytes: u64,
    /// The bytes that the leader sent.
    pub leader_bytes: u64,
    /// The leader's processor time.
    pub leader_us: f64,
    /// The processor time of all members.
    pub all_us: f64,
    /// The number of followers.
    pub followers: f64,
}

impl Usage {
    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage {
            span_us: self.span_us - earlier.span_us,
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
            leader_bytes: self.leader_bytes - earlier.leader_bytes,
            leader_us: self.leader_us - earlier.leader_us,
            all_us: self.all_us - earlier.all_us,
            followers: self.followers,
        }
    }

    /// A follower's processor time: the mean over all followers.
    pub fn follower_us(&self) -> f64 {
        (self.all_us - self.leader_us) / self.followers.max(1.0)
    }
}
