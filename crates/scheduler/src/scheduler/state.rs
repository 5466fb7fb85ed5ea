//! The scheduler's records: shards and their queues, open requests, keys and alarms.
use super::backend::Backend;
use super::session::Session;
use crate::decaying_sum::DecayingSum;
use crate::interface::{BackendId, Class, KeyId, Micros, Request, RequestId, ShardId, VolumeId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is to be done at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    /// A queued request may have to get its response, or it would be late.
    Expire(RequestId),
    /// A shard's queues may have something to send.
    Dispatch(ShardId),
    /// A key is no longer blocked.
    Unblock(KeyId),
    /// The list of backends is to be requested.
    Watch,
}

/// The queue of a session at a shard; background work has one of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    /// Whether it holds background work; foreground lanes come first.
    pub background: bool,
    /// Index of the session.
    pub session: usize,
}

/// Requests that wait in a lane.
#[derive(Default)]
pub(super) struct Queue {
    /// First in, first out.
    pub requests: VecDeque<RequestId>,
    /// Their sizes, summed.
    pub units: f64,
    /// Deficit counter of the weighted round robin, in units.
    pub deficit: f64,
}

/// A shard, with the queues of requests for it.
#[derive(Default)]
pub(super) struct Shard {
    /// Indexes of the backends that hold it.
    pub backends: BTreeSet<usize>,
    /// The one of them that is sent to.
    pub active_backend: Option<usize>,
    /// Requests that wait, by lane.
    pub queues: BTreeMap<Lane, Queue>,
    /// Where the round robin goes on.
    pub next_lane: Lane,
    /// When its alarm is set for.
    pub alarm_at: Micros,
    /// Units that a warm backend served for this gateway; decays over the duration of slow start.
    pub served_units: DecayingSum,
    /// Units that clients asked for inside reservations; decays likewise.
    pub reserved_demand: DecayingSum,
}

/// Where an open request stands.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Waits for its turn among requests with the same key, or between two steps.
    #[default]
    Blocked,
    /// Waits in a queue of its shard.
    Queued,
    /// Has an attempt in flight.
    InFlight,
    /// Has an attempt in flight, and its client has gone.
    Abandoned,
}

/// A request that has had no final response, or has an attempt in flight.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// The request.
    pub request: Request,
    /// Its class as of its arrival; a reload doesn't change it.
    pub class: Class,
    /// Whether it is background work, likewise as of its arrival.
    pub background: bool,
    /// Index of its session.
    pub session: usize,
    /// The shard that it is sent to.
    pub shard: ShardId,
    /// When the client's first try arrived.
    pub arrived_at: Micros,
    /// When its latency objective, or its client's timeout, is reached.
    pub due_at: Micros,
    /// The latest time for its response, if it is still queued.
    pub expires_at: Micros,
    /// When its alarm is set for.
    pub alarm_at: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// Where it stands.
    pub state: RequestState,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
}

impl OpenRequest {
    /// The lane in which it waits.
    pub fn lane(&self) -> Lane {
        Lane { background: self.background, session: self.session }
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.state, RequestState::InFlight | RequestState::Abandoned)
    }
}

/// An attempt that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// The shard of its backend.
    pub shard: ShardId,
    /// The zone of its backend.
    pub zone: u32,
    /// When it was sent.
    pub sent_at: Micros,
}

/// Requests with the same key, which are executed in order.
#[derive(Default)]
pub(super) struct KeyQueue {
    /// In the order of their arrival.
    pub requests: VecDeque<RequestId>,
    /// No request is sent until then: an attempt may still be running.
    pub blocked_until: Micros,
}

/// A request that was not served, by which the client's next try is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UnservedRequest {
    /// When its client gives up.
    pub gives_up_at: Micros,
    /// Index of its session.
    pub session: usize,
    /// Its key.
    pub key: Option<KeyId>,
    /// When the client's first try arrived.
    pub arrived_at: Micros,
}

impl UnservedRequest {
    /// The lower bound, in this type's order, of requests whose clients give up then or later.
    pub fn lower_bound(gives_up_at: Micros, arrived_at: Micros) -> UnservedRequest {
        UnservedRequest { gives_up_at, session: 0, key: None, arrived_at }
    }
}

/// The latencies of ready backends, summed.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencySum {
    /// Sum of their averages, in microseconds.
    pub total_us: f64,
    /// Number of backends.
    pub count: f64,
}

/// The sessions of all volumes, by an index that is reused once a volume is forgotten.
#[derive(Default)]
pub(super) struct Sessions {
    /// Index by volume.
    pub by_volume: BTreeMap<VolumeId, usize>,
    /// By index.
    pub all: Vec<Session>,
    /// Indexes that are free.
    pub free: Vec<usize>,
    /// Number of volumes at which to look for those that can be forgotten.
    pub sweep_at: usize,
}

/// All known backends, by an index that is reused once a backend is forgotten.
#[derive(Default)]
pub(super) struct Backends {
    /// Index by identifier.
    pub by_id: BTreeMap<BackendId, usize>,
    /// By index.
    pub all: Vec<Backend>,
    /// Indexes that are free.
    pub free: Vec<usize>,
    /// Indexes of backends that have left the list and can't be forgotten yet.
    pub departed: BTreeSet<usize>,
}
