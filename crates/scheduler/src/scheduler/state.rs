//! The scheduler's records: shards and their queues, open requests, keys and alarms.
use super::backend::Backend;
use super::session::Session;
use crate::decaying_sum::DecayingSum;
use crate::interface::{BackendId, Class, KeyId, Micros, Request, RequestId, ShardId, VolumeId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A task to be done at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    /// Check whether a waiting request must get its final response now.
    Expire(RequestId),
    /// Dispatch a shard's queues.
    Dispatch(ShardId),
    /// A key is no longer blocked: let its next request proceed.
    Unblock(KeyId),
    /// Subscribe to the backend list.
    Watch,
}

/// Identifies a queue of a shard: each session has one, and another for background work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueId {
    /// Whether the queue holds background work; foreground queues sort first.
    pub background: bool,
    /// Index of the session.
    pub session: usize,
}

/// Queued requests of a session at a shard.
#[derive(Default)]
pub(super) struct Queue {
    /// The requests, in FIFO order.
    pub requests: VecDeque<RequestId>,
    /// Total size of the requests, in units.
    pub units: f64,
    /// Deficit counter of the weighted round robin, in units.
    pub deficit: f64,
}

/// A shard, with the queues of requests for it.
#[derive(Default)]
pub(super) struct Shard {
    /// Indexes of the backends that hold the shard.
    pub backends: BTreeSet<usize>,
    /// Index of the backend to which requests are sent.
    pub active_backend: Option<usize>,
    /// Queued requests, by queue.
    pub queues: BTreeMap<QueueId, Queue>,
    /// The queue at which the round robin continues.
    pub next_queue: QueueId,
    /// When the shard's alarm is due.
    pub alarm_at: Micros,
    /// No queued request is due before this time: such requests were finished when all were last examined.
    pub none_due_before: Micros,
    /// Units that a backend served for this gateway outside slow start; decays over the duration of slow
    /// start.
    pub served_units: DecayingSum,
    /// Units requested by clients inside reservations; decays over the duration of slow start.
    pub reserved_demand: DecayingSum,
}

/// The state of an open request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The request waits for earlier requests with the same key, or is between two states.
    #[default]
    Blocked,
    /// The request waits in a queue of its shard.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// An attempt is in flight, but the client has disconnected.
    Abandoned,
}

/// A request without a final response, or with an attempt in flight.
#[derive(Default)]
pub(super) struct OpenRequest {
    /// The request.
    pub request: Request,
    /// The request's class as of its arrival; a reload doesn't change it.
    pub class: Class,
    /// Whether the request is background work, also as of its arrival.
    pub background: bool,
    /// Index of the request's session.
    pub session: usize,
    /// The shard to which the request is sent.
    pub shard: ShardId,
    /// When the client's first try arrived.
    pub arrived_at: Micros,
    /// The earlier of the latency objective and the client's timeout.
    pub due_at: Micros,
    /// The latest time for the response while the request is queued.
    pub expires_at: Micros,
    /// When the request's alarm is due.
    pub alarm_at: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The current state.
    pub state: RequestState,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
}

impl OpenRequest {
    /// Returns the queue in which the request waits.
    pub fn queue_id(&self) -> QueueId {
        QueueId { background: self.background, session: self.session }
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.state, RequestState::InFlight | RequestState::Abandoned)
    }
}

/// An attempt that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// The shard of the attempt's backend.
    pub shard: ShardId,
    /// The zone of the attempt's backend.
    pub zone: u32,
    /// When the attempt was sent.
    pub sent_at: Micros,
}

/// Requests with the same key, which are executed in order.
#[derive(Default)]
pub(super) struct KeyQueue {
    /// Requests in the order of their arrival.
    pub requests: VecDeque<RequestId>,
    /// No request is sent until this time, since an attempt may still be running.
    pub blocked_until: Micros,
}

/// A request that was not served, by which a retry of the client is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UnservedRequest {
    /// When the client times out.
    pub client_timeout_at: Micros,
    /// Index of the request's session.
    pub session: usize,
    /// The request's key.
    pub key: Option<KeyId>,
    /// When the client's first try arrived.
    pub arrived_at: Micros,
}

impl UnservedRequest {
    /// Returns the lower bound, in this type's order, of requests whose clients time out at
    /// `client_timeout_at` or later.
    pub fn lower_bound(client_timeout_at: Micros, arrived_at: Micros) -> UnservedRequest {
        UnservedRequest { client_timeout_at, session: 0, key: None, arrived_at }
    }
}

/// The sum of the latencies of ready backends.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencySum {
    /// Sum of the backends' average latencies, in microseconds.
    pub total_us: f64,
    /// Number of backends.
    pub count: f64,
}

/// The sessions of all volumes, by an index that is reused after a volume is evicted.
#[derive(Default)]
pub(super) struct Sessions {
    /// Index by volume.
    pub by_volume: BTreeMap<VolumeId, usize>,
    /// Sessions by index.
    pub all: Vec<Session>,
    /// Free indexes.
    pub free: Vec<usize>,
    /// Number of known volumes at which idle ones are evicted.
    pub sweep_at: usize,
}

/// All known backends, by an index that is reused after a backend is evicted.
#[derive(Default)]
pub(super) struct Backends {
    /// Index by identifier.
    pub by_id: BTreeMap<BackendId, usize>,
    /// Backends by index.
    pub all: Vec<Backend>,
    /// Free indexes.
    pub free: Vec<usize>,
    /// Indexes of backends that have left the list and can't be evicted yet.
    pub departed: BTreeSet<usize>,
}
