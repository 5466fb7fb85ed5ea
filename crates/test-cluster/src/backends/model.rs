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
    pub service: Duration,
    /// Limit on the commands that are executed at the same time.
    pub slots: usize,
    /// Limit on the commands that wait.
    pub queue: usize,
    /// Limit on the commands that are executed at the same time while the backend is cold.
    pub cold_slots: usize,
    /// How long the backend is cold after a restart.
    pub warm_up: Duration,
    /// Share of commands that are rejected with `-BUSY`.
    pub busy: f64,
    /// Share of commands that end with `-ERR failed`.
    pub fail: f64,
    /// Share of these that have been executed.
    pub fail_runs: f64,
    /// Share of commands that are never answered.
    pub silent: f64,
    /// Share of these that have been executed.
    pub silent_runs: f64,
    /// Limit on the throughput of answers in bytes per second.
    pub rate: Option<u32>,
}

impl Default for Behavior {
    fn default() -> Self {
        Behavior {
            service: Duration::from_millis(4),
            slots: 16,
            queue: 64,
            cold_slots: 4,
            warm_up: Duration::from_secs(2),
            busy: 0.0,
            fail: 0.0,
            fail_runs: 0.5,
            silent: 0.0,
            silent_runs: 0.5,
            rate: None,
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
    pub write: bool,
    /// The shard that it names.
    pub shard: i64,
    /// Its units.
    pub units: u32,
    /// How long the gateway waits for it according to the command, in milliseconds.
    pub wait_ms: u64,
    /// Time and sequence number of its execution; none if it was not executed.
    pub ran: Option<(Duration, u64)>,
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
