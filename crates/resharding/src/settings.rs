//! Settings that all members share, and the assignment of volumes to shards of a member.
use cluster_types::{Time, Volume};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The spans and bounds that must be the same on all members. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// How long a member's right to migrating ranges lasts, counted from when it asked for its lease.
    pub lease: Duration,
    /// How far two steady clocks diverge during a lease, at most.
    pub max_clock_drift: Duration,
    /// The longest time that a command can be in flight to a backend, from when it is sent.
    pub max_command_time: Duration,
    /// How long writes wait for all members to be quiet; then they go on at the old place.
    pub hand_over_timeout: Duration,
    /// How long until something unanswered is reported again, and between reports of written blocks.
    pub report_interval: Duration,
    /// A hand-over begins once at most this many blocks are left to copy.
    pub hand_over_blocks: u64,
    /// How many blocks are copied at once.
    pub chunk_blocks: u64,
    /// How many chunks of a migration are copied at the same time.
    pub max_chunks: usize,
    /// Whether each copied chunk is read again and compared.
    pub verify: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: Duration::from_millis(2000),
            max_clock_drift: Duration::from_millis(100),
            max_command_time: Duration::from_millis(1000),
            hand_over_timeout: Duration::from_millis(300),
            report_interval: Duration::from_millis(200),
            hand_over_blocks: 256,
            chunk_blocks: 64,
            max_chunks: 4,
            verify: true,
        }
    }
}

impl Settings {
    /// How long after its last grant a member's lease has surely expired and its commands have ended.
    pub fn expired_after(&self) -> Duration {
        self.lease + self.max_clock_drift + self.max_command_time
    }

    /// How long writes to a range wait at its hand-over at most, without the time that the log takes.
    pub fn max_hand_over_wait(&self) -> Duration {
        self.hand_over_timeout + self.expired_after()
    }

    /// When a lease ends that was asked for at `asked`, on the clock of the member that asked.
    pub fn lease_end(&self, asked: Time) -> Time {
        asked + self.lease
    }
}

/// The shard, of `count`, that serves a volume: the same on every start.
pub fn shard_of(volume: &Volume, count: u32) -> u32 {
    let hash = volume
        .0
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
}
