//! What a group says and does, and why a play of it stops.

/// Why a play did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum Stopped {
    /// In real time.
    #[error("the time of a play passed at {0} us of simulated time")]
    Passed(u64),
    /// In simulated time.
    #[error("{0} after {1} us of simulated time")]
    Unsettled(&'static str, u64),
}

/// What members have said and done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Simulated time.
    pub span_us: u64,
    /// Messages of all.
    pub messages: u64,
    /// Their bytes, sealed.
    pub bytes: u64,
    /// Of these, the leader's.
    pub leader_bytes: u64,
    /// The leader's processor time.
    pub leader_us: f64,
    /// The processor time of all.
    pub all_us: f64,
    /// How many others there are.
    pub followers: f64,
}

impl Load {
    /// What came after an earlier one.
    pub fn since(&self, earlier: &Load) -> Load {
        Load {
            span_us: self.span_us - earlier.span_us,
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
            leader_bytes: self.leader_bytes - earlier.leader_bytes,
            leader_us: self.leader_us - earlier.leader_us,
            all_us: self.all_us - earlier.all_us,
            followers: self.followers,
        }
    }

    /// A follower's processor time: the mean of all.
    pub fn follower_us(&self) -> f64 {
        (self.all_us - self.leader_us) / self.followers.max(1.0)
    }
}
