//! Decodes events as the simulator writes them.
use super::error::LineError;
use super::micros;
use crate::interface::{
    AttemptOutcome, AttemptReport, BackendEntry, BackendId, BackendState, EndpointUpdate, Event, KeyId,
    Request, RequestId, ShardId, VolumeId,
};
use serde::Deserialize;

/// `Topology`: an update of the backend list.
#[derive(Deserialize)]
pub(super) struct Topology {
    #[serde(rename = "Form", default)]
    form: u32,
    #[serde(rename = "Members", default)]
    entries: Vec<TopologyEntry>,
}

#[derive(Deserialize)]
struct TopologyEntry {
    #[serde(rename = "Node")]
    backend: String,
    #[serde(rename = "Az", default)]
    zone: u32,
    #[serde(rename = "Availability")]
    state: u32,
    #[serde(rename = "StartTimeS", default)]
    started_at_s: f64,
    #[serde(rename = "Pack", default)]
    shard: u32,
}

/// `JobIn`: a request arrived.
#[derive(Deserialize)]
pub(super) struct JobIn {
    #[serde(rename = "Corr")]
    id: u64,
    #[serde(rename = "Item", default)]
    key: String,
    #[serde(rename = "Hosts", default)]
    volume_gateways: f64,
    #[serde(rename = "SizeUnits", default = "default_units")]
    units: f64,
    #[serde(rename = "GraceS")]
    timeout_s: f64,
    /// Negative for a new object.
    #[serde(rename = "LiesIn", default = "no_shard")]
    shard: f64,
    #[serde(rename = "Grade", default)]
    plan: usize,
    #[serde(rename = "ShareId", default)]
    volume: String,
    #[serde(rename = "Lane", default)]
    class: usize,
}

fn default_units() -> f64 {
    1.0
}

fn no_shard() -> f64 {
    -1.0
}

/// `Reply`: an attempt ended.
#[derive(Deserialize)]
pub(super) struct Reply {
    #[serde(rename = "Corr")]
    id: u64,
    #[serde(rename = "DurationS", default)]
    elapsed_s: f64,
    #[serde(rename = "Delta", default)]
    remote_units: f64,
    #[serde(rename = "Final", default)]
    request_finished: bool,
    #[serde(rename = "Node", default)]
    backend: String,
    #[serde(rename = "SendNo", default)]
    attempt: u32,
    #[serde(rename = "Rc")]
    outcome: u32,
}

/// `ClientLeft`: the client disconnected.
#[derive(Deserialize)]
pub(super) struct ClientLeft {
    #[serde(rename = "Corr")]
    id: u64,
}

/// `Fired`: a timer expired.
#[derive(Deserialize)]
pub(super) struct Fired {
    #[serde(rename = "Token")]
    token: u64,
}

impl TryFrom<Topology> for Event {
    type Error = LineError;

    fn try_from(topology: Topology) -> Result<Event, LineError> {
        let entries: Result<Vec<_>, _> = topology.entries.into_iter().map(BackendEntry::try_from).collect();
        let entries = entries?;
        Ok(Event::Endpoints(match topology.form {
            0 => EndpointUpdate::Failed,
            1 => EndpointUpdate::Delta(entries),
            2 => EndpointUpdate::Cached(entries),
            3 => EndpointUpdate::Full(entries),
            value => return Err(LineError::UnknownCode { field: "Form", value }),
        }))
    }
}

impl TryFrom<TopologyEntry> for BackendEntry {
    type Error = LineError;

    fn try_from(entry: TopologyEntry) -> Result<BackendEntry, LineError> {
        let state = match entry.state {
            0 => BackendState::Gone,
            1 => BackendState::Ready,
            2 => BackendState::Draining,
            value => return Err(LineError::UnknownCode { field: "Availability", value }),
        };
        Ok(BackendEntry {
            backend: BackendId(entry.backend.into()),
            state,
            started_at: (entry.started_at_s > 0.0).then(|| micros(entry.started_at_s)),
            shard: ShardId(entry.shard),
            zone: entry.zone,
        })
    }
}

impl From<JobIn> for Event {
    fn from(job: JobIn) -> Event {
        Event::RequestArrived(Request {
            id: RequestId(job.id),
            class: job.class,
            plan: job.plan,
            volume: VolumeId(job.volume.into()),
            key: (!job.key.is_empty()).then(|| KeyId(job.key.into())),
            shard: (job.shard >= 0.0).then_some(ShardId(job.shard as u32)),
            units: job.units,
            volume_gateways: job.volume_gateways as u32,
            timeout: micros(job.timeout_s),
        })
    }
}

impl TryFrom<Reply> for Event {
    type Error = LineError;

    fn try_from(reply: Reply) -> Result<Event, LineError> {
        let outcome = match reply.outcome {
            100 => AttemptOutcome::Ok,
            301 => AttemptOutcome::Error,
            302 => AttemptOutcome::Rejected,
            303 => AttemptOutcome::Timeout,
            304 => AttemptOutcome::ConnectFailed,
            305 => AttemptOutcome::Reset,
            306 => AttemptOutcome::Cancelled,
            307 => AttemptOutcome::NotSent,
            value => return Err(LineError::UnknownCode { field: "Rc", value }),
        };
        Ok(Event::AttemptEnded(AttemptReport {
            id: RequestId(reply.id),
            attempt: reply.attempt,
            backend: BackendId(reply.backend.into()),
            outcome,
            elapsed: micros(reply.elapsed_s),
            request_finished: reply.request_finished,
            remote_units: reply.remote_units,
        }))
    }
}

impl From<ClientLeft> for Event {
    fn from(left: ClientLeft) -> Event {
        Event::ClientLeft(RequestId(left.id))
    }
}

impl From<Fired> for Event {
    fn from(fired: Fired) -> Event {
        Event::TimerFired(fired.token)
    }
}
