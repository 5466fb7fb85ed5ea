//! Configuration files with many backends, as an operator or the platform writes them.
use crate::Error;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Zones over which backends are spread.
pub const ZONES: u64 = 12;

/// The format of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FileFormat {
    /// TOML, as operators write it.
    Toml,
    /// JSON, as the platform writes it.
    Json,
}

impl FileFormat {
    /// The file name extension, from which the gateway derives the format.
    pub fn extension(self) -> &'static str {
        match self {
            FileFormat::Toml => "toml",
            FileFormat::Json => "json",
        }
    }
}

/// A backend as listed by discovery and by the fixed list of a file; a moved one has another port.
pub fn instance(n: u64, is_moved: bool) -> Value {
    json!({
        "instanceId": format!("box-{n:05}"),
        "hostPort": format!("127.0.0.1:{}", if is_moved { 6391 } else { 6390 }),
        "zone": zone(n),
        "cell": n,
        "lifecycle": "active",
    })
}

/// The zone of a backend.
fn zone(n: u64) -> String {
    format!("zone-{:02}", n % ZONES)
}

/// The names of all zones.
pub fn zones() -> Vec<String> {
    (0..ZONES).map(zone).collect()
}

/// A file that lists these backends.
pub fn config_with_instances(
    format: FileFormat,
    listen: SocketAddr,
    instances: Vec<Value>,
) -> Result<String, Error> {
    let value = json!({
        "name": "front-0",
        "listen": listen.to_string(),
        "seed": "7",
        "known": { "generation": 41, "reset": true, "instances": instances },
        "settings": {
            "FleetSize": 1,
            "MembershipMode": "ask",
            "QuantumS": 0.002,
            "Zones": zones(),
            "Classes": [
                { "Name": "stock-read", "OnTimeS": 0.25, "DeadlineS": 1.2, "Worth": 2.0, "Idempotency": "idempotent" },
                { "Name": "booking-write", "OnTimeS": 0.5, "DeadlineS": 3.0, "Worth": 2.0, "Idempotency": "at_most_once" },
            ],
            "Contracts": [
                { "Name": "basis", "CeilingRate": 20.0, "CapDepth": 36.0, "Guaranteed": 1.7 },
                { "Name": "premium", "Guaranteed": 500.0 },
            ],
            "FamilyInfo": {
                "ColdUnits": 11.0, "CountsOthers": true, "MostUnits": 6.0, "UnitMean": 1.96, "Writes": [false, true],
            },
            "Limits": {
                "ConnIdleS": 15.0, "ConnectTimeoutS": 0.25, "MaxAttempts": 3, "MaxRetryAfterS": 1.0, "RetryAfter": true,
            },
            "Rules": { "AskWithinS": 10.0, "ColdFrom": 0.18, "FallS": 1.0, "TipMultiple": 2.0, "WarmUpS": 18.0 },
        },
    });
    match format {
        FileFormat::Toml => toml::to_string(&value).map_err(|e| Error::component("file", e)),
        FileFormat::Json => serde_json::to_string(&value).map_err(|e| Error::component("file", e)),
    }
}

/// A file with the given number of backends, one of them moved.
pub fn config_text(
    format: FileFormat,
    listen: SocketAddr,
    size: u64,
    moved_index: Option<u64>,
) -> Result<String, Error> {
    config_with_instances(format, listen, (0..size).map(|n| instance(n, moved_index == Some(n))).collect())
}
