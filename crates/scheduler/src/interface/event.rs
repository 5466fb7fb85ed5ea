//! The events that the scheduler is notified of.
use super::ids::{BackendId, KeyId, Micros, RequestId, ShardId, VolumeId};

/// The state of a backend, as discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its requests and must not be sent new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of backends.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    /// The backend.
    pub backend: BackendId,
    /// Its state.
    pub state: BackendState,
    /// When it last started, unless that is long ago.
    pub started_at: Option<Micros>,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Index of the zone that it is in.
    pub zone: u32,
}

/// An update of the list of backends.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The complete list, as this gateway last knew it; it may be stale.
    Cached(Vec<BackendEntry>),
    /// The complete list.
    Full(Vec<BackendEntry>),
    /// Changed entries.
    Delta(Vec<BackendEntry>),
    /// A call to discovery failed, or the watch broke.
    Failed,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its volume's plan.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// The piece of data.
    pub key: Option<KeyId>,
    /// The shard that holds the data; none for a new object, which any backend may take.
    pub shard: Option<ShardId>,
    /// Its size, in units.
    pub units: f64,
    /// Number of gateways through which the volume's requests arrive.
    pub volume_gateways: u32,
    /// Time until the client gives up this try.
    pub timeout: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// The backend answered with an error; the request may have been executed.
    Error,
    /// The backend rejected it unseen: its queue is full, or it drains.
    Rejected,
    /// No response in time; the request may have been executed, or still run.
    Timeout,
    /// No connection; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// Cancelled after it was sent; the request may have been executed.
    Cancelled,
    /// Cancelled before dispatch.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request has had its final response.
    pub request_finished: bool,
    /// Units that the shard served for the volume through other gateways since its last response to this
    /// one.
    pub remote_units: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of backends was updated.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The client left, or got its response otherwise; the request is over.
    ClientLeft(RequestId),
    /// The timer with this token expired.
    TimerFired(u64),
}
