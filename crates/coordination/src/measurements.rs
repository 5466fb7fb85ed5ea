//! What a gateway measures, for the leader. Part of the wire format: the order of the fields is fixed.
use cluster_types::{BackendId, Time, Volume, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a gateway knows of a backend.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendMeasurement {
    /// The zone of the backend.
    pub zone: Zone,
    /// Whether discovery lists it, draining or not.
    pub is_listed: bool,
    /// Whether this gateway finds it dead: it failed, and has answered nothing since.
    pub is_dead: bool,
    /// Whether it is warming up.
    pub is_warming_up: bool,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Microseconds since the last attempt was sent to it, if any was.
    pub since_last_send_us: Option<u64>,
    /// Units that it served for this gateway within the last seconds.
    pub units: u64,
    /// Whether an attempt has failed there since the last report.
    pub has_failed: bool,
}

/// What a volume uses at a gateway. In thousandths of a unit a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeMeasurement {
    /// What the volume uses.
    pub used: u64,
    /// What each backend could serve of that: the backend that did, and any other that holds the same shard.
    pub servable_by: BTreeMap<BackendId, u64>,
}

/// Everything that a gateway measures. Each report is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurements {
    /// Whether the list of backends is known.
    pub is_complete: bool,
    /// All backends.
    pub backends: BTreeMap<BackendId, BackendMeasurement>,
    /// The largest reservation of a plan, in thousandths of a unit a second.
    pub max_reservation: u64,
    /// All volumes that are in use.
    pub volumes: BTreeMap<Volume, VolumeMeasurement>,
}

/// The time that lies `micros` microseconds before `now`: a span can be sent, a time cannot.
pub(crate) fn time_before(now: Time, micros: u64) -> Time {
    Time(now.0.saturating_sub(micros))
}
