//! What boxes are made of, how they act, and what they log.
use super::store::{Key, Shelf};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How a box acts.
#[derive(Clone, Debug, PartialEq)]
pub struct Manner {
    /// How long a command takes.
    pub service: Duration,
    /// Commands that run at once.
    pub slots: usize,
    /// Commands that may wait.
    pub queue: usize,
    /// Commands that run at once while it is cold.
    pub cold_slots: usize,
    /// How long it is cold after a start.
    pub warm_up: Duration,
    /// The share that is turned away with `-BUSY`.
    pub busy: f64,
    /// The share that ends with `-ERR failed`.
    pub fail: f64,
    /// Of these, the share that has run.
    pub fail_runs: f64,
    /// The share that never gets an answer.
    pub silent: f64,
    /// Of these, the share that has run.
    pub silent_runs: f64,
    /// The most bytes in a second of an answer.
    pub rate: Option<u32>,
}

impl Default for Manner {
    fn default() -> Self {
        Manner {
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

/// What a box answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Nothing, so far.
    None,
    /// The value.
    Value(Arc<[u8]>),
    /// It was turned away.
    Busy,
    /// It failed.
    Failed,
    /// It made no sense.
    Syntax,
}

/// A command that has come to a box.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its place in the rig's order, taken when its last byte had come.
    pub order: u64,
    /// When its first byte came.
    pub first: Duration,
    /// When its last byte came.
    pub whole: Duration,
    /// The box.
    pub place: String,
    /// The front at whose door it came.
    pub front: String,
    /// The request's id; over iSCSI the id that a booking's value begins with, or the task's tag.
    pub id: String,
    /// The volume, and the piece or block.
    pub key: Key,
    /// Whether it books.
    pub write: bool,
    /// The shard that it names.
    pub shard: i64,
    /// Its units.
    pub units: u32,
    /// How long the front says that it waits, in milliseconds.
    pub wait_ms: u64,
    /// When it ran, and its place in the order then; none where it has not.
    pub ran: Option<(Duration, u64)>,
    /// The answer.
    pub answer: Answer,
}

/// How it is spoken to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speaks {
    /// RESP2.
    #[default]
    Resp,
    /// iSCSI; the box is the target.
    Iscsi,
}

/// What a box is made of.
#[derive(Clone, Debug)]
pub struct Make {
    /// Its name, discovery's `instanceId`.
    pub name: String,
    /// The shard that it holds.
    pub cell: i64,
    /// How it is spoken to.
    pub speaks: Speaks,
    /// Where it listens, for each front.
    pub doors: BTreeMap<String, SocketAddr>,
    /// For iSCSI: LUN, volume and blocks of each unit.
    pub units: Vec<(u8, String, u64)>,
    /// What it holds.
    pub shelf: Shelf,
    /// Decides what it turns away, fails, or leaves without answer.
    pub seed: u64,
}
