//! The events that the scheduler handles.
use super::ids::{BackendId, KeyId, Micros, RequestId, ShardId, VolumeId};

/// The state of a backend, as discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// The backend accepts requests.
    #[default]
    Ready,
    /// The backend completes its requests and must not be sent new ones.
    Draining,
    /// The backend was removed.
    Gone,
}

/// An entry of the backend list.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    /// The backend.
    pub backend: BackendId,
    /// Its state.
    pub state: BackendState,
    /// When the backend last started; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// The shard that the backend holds.
    pub shard: ShardId,
    /// Index of the backend's zone.
    pub zone: u32,
}

/// An update of the backend list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The complete list as last known to this gateway; it may be stale.
    Cached(Vec<BackendEntry>),
    /// The complete list.
    Full(Vec<BackendEntry>),
    /// Only the changed entries.
    Delta(Vec<BackendEntry>),
    /// A discovery call failed, or the watch was interrupted.
    Failed,
}

/// A client request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The request's number.
    pub id: RequestId,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the plan of the volume.
    pub plan: usize,
    /// The volume.
    pub volume: VolumeId,
    /// The key of the data, if any.
    pub key: Option<KeyId>,
    /// The shard that holds the data; `None` for a new object, which any backend may store.
    pub shard: Option<ShardId>,
    /// Size of the request, in units.
    pub units: f64,
    /// Number of gateways through which the volume's requests arrive.
    pub volume_gateways: u32,
    /// Time until the client times out this try.
    pub timeout: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend served the request.
    Ok,
    /// The backend responded with an error; the request may have been executed.
    Error,
    /// The backend rejected the request without executing it: its queue is full, or it is draining.
    Rejected,
    /// No response arrived in time; the request may have been executed, or may still be running.
    Timeout,
    /// No connection could be established; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// The attempt was cancelled after it was sent; the request may have been executed.
    Cancelled,
    /// The attempt was cancelled before it was sent.
    NotSent,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, starting from 0.
    pub attempt: u32,
    /// The backend.
    pub backend: BackendId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the request has had its final response.
    pub request_finished: bool,
    /// Units that the shard served for the volume through other gateways since its last response to this
    /// gateway.
    pub remote_units: f64,
}

/// Something that happened, for the scheduler to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The backend list was updated.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptEnded(AttemptReport),
    /// The client disconnected, or got its response otherwise; the request is over.
    ClientLeft(RequestId),
    /// The timer with this token expired.
    TimerFired(u64),
}
