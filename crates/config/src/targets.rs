//! The list of disk boxes: discovery's messages, and the fixed list of a file.
use crate::{fault, Fault};
use scheduler::interface::{BackendEntry, BackendId, BackendState, Micros, ShardId};
use serde::Deserialize;
use std::net::SocketAddr;

/// How a disk box is spoken to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Speaks {
    /// RESP2.
    #[default]
    Resp,
    /// iSCSI, with the front as the initiator.
    Iscsi,
}

/// A disk box on the list.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the module is told.
    pub entry: BackendEntry,
    /// Where it listens; none where the list gives nothing usable.
    pub address: Option<SocketAddr>,
    /// How it is spoken to.
    pub speaks: Speaks,
    /// Its target's name, where it speaks iSCSI.
    pub target: String,
}

/// One message of discovery.
#[derive(Clone, Debug)]
pub struct Targets {
    /// The list's version.
    pub generation: i64,
    /// Whether this is the whole list.
    pub whole: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TargetIn {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    cell: u32,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: i64,
    #[serde(default)]
    speaks: Speaks,
    #[serde(default)]
    target: Option<String>,
}

#[derive(Deserialize)]
struct TargetsIn {
    #[serde(default)]
    generation: i64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<TargetIn>,
}

/// Reads one message of discovery; times on it are Unix milliseconds, which are turned into the clock's
/// microseconds here and nowhere else.
pub fn targets(text: &[u8], zones: &[String]) -> Result<Targets, Fault> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let read: TargetsIn = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| Fault { key: e.path().to_string(), reason: e.inner().to_string() })?;
    let mut targets = Vec::with_capacity(read.instances.len());
    for (i, t) in read.instances.into_iter().enumerate() {
        let state = match t.lifecycle.as_str() {
            "active" => BackendState::Ready,
            "leaving" => BackendState::Draining,
            "left" => BackendState::Gone,
            other => return fault(format!("instances[{i}].lifecycle"), format!("unknown value {other:?}")),
        };
        let zone = zones.iter().position(|z| *z == t.zone).unwrap_or(zones.len()) as u32;
        let target = t.target.unwrap_or_else(|| format!("iqn.2026-12.lichenrudder:{}", t.instance_id));
        targets.push(Target {
            entry: BackendEntry {
                backend: BackendId(t.instance_id.into()),
                state,
                started_at: (t.started_at_ms > 0).then(|| Micros(t.started_at_ms.saturating_mul(1000))),
                shard: ShardId(t.cell),
                zone,
            },
            address: t.host_port.parse().ok(),
            speaks: t.speaks,
            target,
        });
    }
    Ok(Targets { generation: read.generation, whole: read.reset, targets })
}
