//! Settings that all members share, and the assignment of volumes to shards of a member.
use cluster_types::{Time, Volume};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The durations and limits, which must be the same on all members. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// How long a member may use migrating ranges, counted from when it requested its lease.
    pub lease: Duration,
    /// The maximum drift between two monotonic clocks during a lease.
    pub max_clock_drift: Duration,
    /// The longest time that a command can be in flight to a backend, from when it is sent.
    pub max_command_time: Duration,
    /// How long writes are held until all members are quiet. After that they resume at the source backend.
    pub hand_over_timeout: Duration,
    /// The interval at which unconfirmed reports are repeated, and between reports of written blocks.
    pub report_interval: Duration,
    /// A hand-over begins once at most this many blocks are left to copy.
    pub hand_over_blocks: u64,
    /// The number of blocks in a chunk.
    pub chunk_blocks: u64,
    /// How many chunks of a migration are copied concurrently.
    pub max_chunks: usize,
    /// Whether each copied chunk is read back and compared.
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
    /// The time after a member's last grant at which its lease has certainly expired and its commands have ended.
    pub fn expired_after(&self) -> Duration {
        self.lease + self.max_clock_drift + self.max_command_time
    }

    /// The maximum time for which writes to a range are held at its hand-over, excluding the latency of the log.
    pub fn max_hand_over_wait(&self) -> Duration {
        self.hand_over_timeout + self.expired_after()
    }

    /// The end of a lease that was requested at `requested_at`, on the clock of the requesting member.
    pub fn lease_end(&self, requested_at: Time) -> Time {
        requested_at + self.lease
    }
}

/// The shard, out of `count`, that serves a volume. It is the same after every restart.
pub fn shard_of(volume: &Volume, count: u32) -> u32 {
    let hash = volume
        .0
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
}
