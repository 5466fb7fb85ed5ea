//! Configuration, behavior and log records of fake backends.
use super::store::{Key, SharedStore};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The behavior of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Behavior {
    /// Duration of a command.
    pub service_time: Duration,
    /// Limit on the commands that are executed at the same time.
    pub max_running: usize,
    /// Limit on the commands that wait.
    pub max_queued: usize,
    /// Limit on the commands that are executed at the same time while the backend is cold.
    pub max_running_cold: usize,
    /// How long the backend is cold after a restart.
    pub warm_up: Duration,
    /// Share of commands that are rejected with `-BUSY`.
    pub busy_share: f64,
    /// Share of commands that end with `-ERR failed`.
    pub fail_share: f64,
    /// Share of these that have been executed.
    pub executed_fail_share: f64,
    /// Share of commands that are never answered.
    pub silent_share: f64,
    /// Share of these that have been executed.
    pub executed_silent_share: f64,
    /// Limit on the throughput of answers in bytes per second.
    pub max_bytes_s: Option<u32>,
}

impl Default for Behavior {
    fn default() -> Self {
        Behavior {
            service_time: Duration::from_millis(4),
            max_running: 16,
            max_queued: 64,
            max_running_cold: 4,
            warm_up: Duration::from_secs(2),
            busy_share: 0.0,
            fail_share: 0.0,
            executed_fail_share: 0.5,
            silent_share: 0.0,
            executed_silent_share: 0.5,
            max_bytes_s: None,
        }
    }
}

/// The answer of a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// None so far.
    None,
    /// The value.
    Value(Arc<[u8]>),
    /// The command was rejected.
    Busy,
    /// The command failed.
    Failed,
    /// The command was malformed.
    Syntax,
}

/// A command that a backend received.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// Its sequence number, taken when its last byte was received.
    pub sequence: u64,
    /// Time at which its first byte was received.
    pub first_byte_at: Duration,
    /// Time at which its last byte was received.
    pub last_byte_at: Duration,
    /// The backend.
    pub backend: String,
    /// The gateway that sent it.
    pub gateway: String,
    /// The id of the request; over iSCSI the id at the start of a written value, or else the tag of the task.
    pub id: String,
    /// The volume, and the piece or block.
    pub key: Key,
    /// Whether it is a write.
    pub is_write: bool,
    /// The shard that it names.
    pub shard: i64,
    /// Its units.
    pub units: u32,
    /// How long the gateway waits for it according to the command, in milliseconds.
    pub wait_ms: u64,
    /// Time and sequence number of its execution; none if it was not executed.
    pub executed: Option<(Duration, u64)>,
    /// The answer.
    pub answer: Answer,
}

/// The protocol of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2.
    #[default]
    Resp,
    /// iSCSI, with the backend as the target.
    Iscsi,
}

/// Configuration of a backend.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Its name, `instanceId` in discovery.
    pub name: String,
    /// The shard that it holds.
    pub shard: i64,
    /// Its protocol.
    pub protocol: Protocol,
    /// The address on which it listens for each gateway.
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    /// For iSCSI: number, volume and size in blocks of each LUN.
    pub luns: Vec<(u8, String, u64)>,
    /// Its data.
    pub store: SharedStore,
    /// Seed that determines which commands are rejected, fail, or stay unanswered.
    pub seed: u64,
}
