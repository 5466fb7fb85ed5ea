//! Configuration files with many boxes, as an operator or the platform writes them.
use crate::Error;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Zones over which boxes are spread.
pub const ZONES: u64 = 12;

/// The form of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// An operator's.
    Toml,
    /// The platform's.
    Json,
}

impl Form {
    /// The ending of such a file's name, which tells the program how to read it.
    pub fn ending(self) -> &'static str {
        match self {
            Form::Toml => "toml",
            Form::Json => "json",
        }
    }
}

/// A box as discovery and the fixed list of a file name it. One that is moved stands at another port.
pub fn instance(n: u64, moved: bool) -> Value {
    json!({
        "instanceId": format!("box-{n:05}"),
        "hostPort": format!("127.0.0.1:{}", if moved { 6391 } else { 6390 }),
        "zone": zone(n),
        "cell": n,
        "lifecycle": "active",
    })
}

/// The zone of a box.
fn zone(n: u64) -> String {
    format!("zone-{:02}", n % ZONES)
}

/// The names of all zones.
pub fn zones() -> Vec<String> {
    (0..ZONES).map(zone).collect()
}

/// A file whose list is of these boxes.
pub fn with_instances(form: Form, listen: SocketAddr, instances: Vec<Value>) -> Result<String, Error> {
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
    match form {
        Form::Toml => toml::to_string(&value).map_err(|e| Error::part("file", e)),
        Form::Json => serde_json::to_string(&value).map_err(|e| Error::part("file", e)),
    }
}

/// A file with so many boxes, of which one is moved.
pub fn text(form: Form, listen: SocketAddr, size: u64, moved: Option<u64>) -> Result<String, Error> {
    with_instances(form, listen, (0..size).map(|n| instance(n, moved == Some(n))).collect())
}
