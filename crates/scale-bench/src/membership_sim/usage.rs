//! Messages and processor time of members, and the reason why a run stops.
use crate::Run;
use std::time::Duration;

/// The real-time limit of a run has passed.
#[derive(Debug, thiserror::Error)]
#[error("the time limit of the run passed at {0:?} of simulated time")]
pub struct StopReason(pub Duration);

/// Messages and processor time of members so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Datagrams sent.
    pub messages: u64,
    /// Their bytes, with the IP and UDP headers that the membership crate counts.
    pub bytes: u64,
    /// Processor time of all members, in microseconds.
    pub cpu_us: f64,
    /// Simulated seconds, summed over the running members.
    pub member_seconds: f64,
}

impl Usage {
    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
            cpu_us: self.cpu_us - earlier.cpu_us,
            member_seconds: self.member_seconds - earlier.member_seconds,
        }
    }

    /// Records the figures in a run, also per member and second.
    pub fn record(&self, name: &str, run: &mut Run) {
        let member_seconds = self.member_seconds.max(1e-9);
        run.record(&format!("{name}_messages"), self.messages as f64);
        run.record(&format!("{name}_bytes"), self.bytes as f64);
        run.record(&format!("{name}_member_messages_s"), self.messages as f64 / member_seconds);
        run.record(&format!("{name}_member_bytes_s"), self.bytes as f64 / member_seconds);
        run.record(&format!("{name}_member_cpu_us_s"), self.cpu_us / member_seconds);
    }
}
