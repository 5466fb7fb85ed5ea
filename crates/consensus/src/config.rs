//! The configuration of a member: the group, its timeouts and its limits.
use crate::error::StartError;
use cluster_types::MemberId;
use std::time::Duration;

/// Parts per million in a whole.
const PPM_PER_WHOLE: u64 = 1_000_000;

/// The configured clock drift must be below this, in parts per million.
const CLOCK_DRIFT_BOUND_PPM: u32 = 500_000;

/// The group, its timeouts and its limits. Members and timeouts must be the same on all members.
#[derive(Clone, Debug)]
pub struct Config {
    /// The id of this member.
    pub own_id: MemberId,
    /// All configured members, including this one.
    pub members: Vec<MemberId>,
    /// The interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// A follower that heard from its leader less than this ago neither campaigns nor votes.
    pub min_election_timeout: Duration,
    /// A follower that has not heard from its leader for this long campaigns.
    pub max_election_timeout: Duration,
    /// The maximum deviation of a clock's rate, in parts per million.
    pub max_clock_drift_ppm: u32,
    /// The maximum number of entries in a message.
    pub max_message_entries: usize,
    /// The approximate maximum size of a message, in bytes; a larger entry is rejected.
    pub max_message_bytes: usize,
    /// The maximum number of unanswered messages with entries per follower.
    pub max_inflight_messages: usize,
    /// The maximum number of entries kept after the snapshot; further proposals are rejected.
    pub max_log_entries: usize,
    /// The maximum size of the entries kept after the snapshot, in bytes; further proposals are rejected.
    pub max_log_bytes: usize,
    /// A snapshot is requested after this many entries.
    pub snapshot_threshold_entries: usize,
    /// The maximum size of a snapshot, in bytes.
    pub max_snapshot_bytes: usize,
    /// The size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// The maximum number of proposals that wait to be committed.
    pub max_pending_proposals: usize,
    /// The maximum number of pending read barriers.
    pub max_pending_read_barriers: usize,
    /// The maximum number of batches that wait to be written.
    pub max_pending_writes: usize,
}

impl Config {
    /// A configuration with the default timeouts and limits.
    pub fn new(own_id: MemberId, members: Vec<MemberId>) -> Config {
        Config {
            own_id,
            members,
            heartbeat_interval: Duration::from_millis(100),
            min_election_timeout: Duration::from_millis(1_000),
            max_election_timeout: Duration::from_millis(2_000),
            max_clock_drift_ppm: 10_000,
            max_message_entries: 256,
            max_message_bytes: 256 << 10,
            max_inflight_messages: 8,
            max_log_entries: 16_384,
            max_log_bytes: 64 << 20,
            snapshot_threshold_entries: 4_096,
            max_snapshot_bytes: 256 << 20,
            snapshot_chunk_bytes: 64 << 10,
            max_pending_proposals: 4_096,
            max_pending_read_barriers: 1_024,
            max_pending_writes: 64,
        }
    }

    /// The size of a quorum: a majority of all configured members.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How long a lease lasts from the start of its heartbeat round: the followers' minimum election timeout on the fastest
    /// permitted clock, measured on the slowest.
    pub fn lease_span(&self) -> Duration {
        let drift = u64::from(self.max_clock_drift_ppm);
        let micros = u64::try_from(self.min_election_timeout.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(
            micros.saturating_mul(PPM_PER_WHOLE.saturating_sub(drift)) / (PPM_PER_WHOLE + drift),
        )
    }

    pub(crate) fn validate(&self) -> Result<(), StartError> {
        let mut sorted = self.members.clone();
        sorted.sort();
        sorted.dedup();
        if sorted.len() != self.members.len() || !sorted.contains(&self.own_id) {
            return Err(StartError::Members);
        }
        let timeouts_fit = self.heartbeat_interval > Duration::ZERO
            && self.heartbeat_interval * 2 <= self.min_election_timeout
            && self.min_election_timeout < self.max_election_timeout
            && self.max_clock_drift_ppm < CLOCK_DRIFT_BOUND_PPM;
        if !timeouts_fit {
            return Err(StartError::Timeouts);
        }
        let bounds = [
            self.max_message_entries,
            self.max_message_bytes,
            self.max_inflight_messages,
            self.snapshot_threshold_entries,
            self.max_snapshot_bytes,
            self.snapshot_chunk_bytes,
            self.max_pending_proposals,
            self.max_pending_read_barriers,
            self.max_pending_writes,
        ];
        if bounds.contains(&0)
            || self.max_log_entries <= self.snapshot_threshold_entries
            || self.max_log_bytes < self.max_message_bytes
        {
            return Err(StartError::Bounds);
        }
        Ok(())
    }
}
