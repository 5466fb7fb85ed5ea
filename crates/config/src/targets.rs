//! The list of backends: messages of discovery, and the fixed list of a file.
use crate::error::invalid;
use crate::ConfigError;
use scheduler::interface::{BackendEntry, BackendId, BackendState, Micros, ShardId};
use serde::Deserialize;
use std::net::SocketAddr;

/// The protocol of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Speaks")]
pub enum BackendProtocol {
    /// RESP2.
    #[default]
    Resp,
    /// iSCSI, with the gateway as the initiator.
    Iscsi,
}

/// A backend on the list.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the scheduler's list.
    pub entry: BackendEntry,
    /// Its endpoint; `None` if the list has no valid address.
    pub address: Option<SocketAddr>,
    /// Its protocol.
    pub protocol: BackendProtocol,
    /// The name of its iSCSI target, used if the protocol is iSCSI.
    pub target: String,
}

/// A message of discovery, or the list of a file.
#[derive(Clone, Debug)]
pub struct Targets {
    /// The list's version.
    pub generation: i64,
    /// Whether this is the complete list, rather than changes to it.
    pub is_complete: bool,
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
    #[serde(default, rename = "speaks")]
    protocol: BackendProtocol,
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

/// Parses a message of discovery. Its times are Unix milliseconds; this is the only place that converts them to microseconds.
///
/// # Errors
/// Names the first invalid key.
pub fn parse_targets(text: &[u8], zones: &[String]) -> Result<Targets, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let message: TargetsIn = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| ConfigError::new(error.path().to_string(), error.inner().to_string()))?;
    let mut targets = Vec::with_capacity(message.instances.len());
    for (index, instance) in message.instances.into_iter().enumerate() {
        let state = match instance.lifecycle.as_str() {
            "active" => BackendState::Ready,
            "leaving" => BackendState::Draining,
            "left" => BackendState::Gone,
            other => {
                return invalid(format!("instances[{index}].lifecycle"), format!("unknown value {other:?}"))
            }
        };
        let zone = zones.iter().position(|zone| *zone == instance.zone).unwrap_or(zones.len()) as u32;
        let target =
            instance.target.unwrap_or_else(|| format!("iqn.2026-12.lichenrudder:{}", instance.instance_id));
        targets.push(Target {
            entry: BackendEntry {
                backend: BackendId(instance.instance_id.into()),
                state,
                started_at: (instance.started_at_ms > 0)
                    .then(|| Micros(instance.started_at_ms.saturating_mul(1000))),
                shard: ShardId(instance.cell),
                zone,
            },
            address: instance.host_port.parse().ok(),
            protocol: instance.protocol,
            target,
        });
    }
    Ok(Targets { generation: message.generation, is_complete: message.reset, targets })
}
