//! What members say and take, and why a play of them stops.
use crate::Play;
use std::time::Duration;

/// The time of a play has passed.
#[derive(Debug, thiserror::Error)]
#[error("the time of a play passed at {0:?} of simulated time")]
pub struct Stopped(pub Duration);

/// What members have sent and taken so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Datagrams sent.
    pub messages: u64,
    /// Their bytes, with the IP and UDP heads that `members` counts.
    pub bytes: u64,
    /// Processor time of all, in microseconds.
    pub cpu_us: f64,
    /// Simulated seconds, times the members that ran.
    pub member_seconds: f64,
}

impl Load {
    /// What came after an earlier one.
    pub fn since(&self, earlier: &Load) -> Load {
        Load {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
            cpu_us: self.cpu_us - earlier.cpu_us,
            member_seconds: self.member_seconds - earlier.member_seconds,
        }
    }

    /// Puts it among a play's figures, for each member and second.
    pub fn put(&self, name: &str, play: &mut Play) {
        let each = self.member_seconds.max(1e-9);
        play.put(&format!("{name}_messages"), self.messages as f64);
        play.put(&format!("{name}_bytes"), self.bytes as f64);
        play.put(&format!("{name}_member_messages_s"), self.messages as f64 / each);
        play.put(&format!("{name}_member_bytes_s"), self.bytes as f64 / each);
        play.put(&format!("{name}_member_cpu_us_s"), self.cpu_us / each);
    }
}
