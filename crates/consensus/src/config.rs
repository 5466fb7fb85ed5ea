//! What a node is told about the group and its bounds.
use crate::error::Fault;
use cluster_types::MemberId;
use std::time::Duration;

/// The group, its times and its bounds. Members and times must be the same everywhere.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member.
    pub me: MemberId,
    /// All configured members, this one among them.
    pub members: Vec<MemberId>,
    /// How often a leader is heard.
    pub heartbeat: Duration,
    /// A follower that heard its leader less than this ago neither campaigns nor votes.
    pub election_min: Duration,
    /// A follower that did not hear its leader for this long campaigns.
    pub election_max: Duration,
    /// How far a clock may run fast or slow, in millionths.
    pub drift_ppm: u32,
    /// At most so many entries in a message.
    pub batch_entries: usize,
    /// About so many bytes in a message; a larger entry is refused.
    pub batch_bytes: usize,
    /// At most so many messages with entries are unanswered by a member.
    pub flights: usize,
    /// So many entries are kept beyond the snapshot; more proposals are refused.
    pub log_entries: usize,
    /// So many bytes of entries are kept beyond the snapshot.
    pub log_bytes: usize,
    /// A snapshot is asked for after so many entries.
    pub snapshot_after: usize,
    /// The largest snapshot.
    pub snapshot_bytes: usize,
    /// A snapshot is sent in pieces of this size.
    pub chunk_bytes: usize,
    /// At most so many proposals wait to be committed.
    pub proposals: usize,
    /// At most so many read barriers wait.
    pub barriers: usize,
    /// At most so many batches wait for the disk.
    pub unwritten: usize,
}

impl Config {
    /// With the usual times and bounds.
    pub fn new(me: MemberId, members: Vec<MemberId>) -> Config {
        Config {
            me,
            members,
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(1_000),
            election_max: Duration::from_millis(2_000),
            drift_ppm: 10_000,
            batch_entries: 256,
            batch_bytes: 256 << 10,
            flights: 8,
            log_entries: 16_384,
            log_bytes: 64 << 20,
            snapshot_after: 4_096,
            snapshot_bytes: 256 << 20,
            chunk_bytes: 64 << 10,
            proposals: 4_096,
            barriers: 1_024,
            unwritten: 64,
        }
    }

    /// A majority of all configured members.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// How long a lease lasts from the start of its round: the followers' wait by the fastest clock, told by the slowest.
    pub fn lease_span(&self) -> Duration {
        let drift = u64::from(self.drift_ppm);
        let micros = u64::try_from(self.election_min.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(
            micros.saturating_mul(1_000_000_u64.saturating_sub(drift)) / (1_000_000 + drift),
        )
    }

    pub(crate) fn check(&self) -> Result<(), Fault> {
        let mut sorted = self.members.clone();
        sorted.sort();
        sorted.dedup();
        if sorted.len() != self.members.len() || !sorted.contains(&self.me) {
            return Err(Fault::Members);
        }
        let times = self.heartbeat > Duration::ZERO
            && self.heartbeat * 2 <= self.election_min
            && self.election_min < self.election_max
            && self.drift_ppm < 500_000;
        if !times {
            return Err(Fault::Times);
        }
        let bounds =
            [self.batch_entries, self.batch_bytes, self.flights, self.snapshot_after, self.snapshot_bytes]
                .into_iter()
                .chain([self.chunk_bytes, self.proposals, self.barriers, self.unwritten]);
        if bounds.min() == Some(0)
            || self.log_entries <= self.snapshot_after
            || self.log_bytes < self.batch_bytes
        {
            return Err(Fault::Bounds);
        }
        Ok(())
    }
}
