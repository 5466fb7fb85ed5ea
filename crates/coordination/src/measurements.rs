//! The measurements that a gateway sends to the leader. Part of the wire format: the order of the fields is fixed.
use cluster_types::{BackendId, Time, Volume, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a gateway has measured of one backend.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendMeasurement {
    /// The zone of the backend.
    pub zone: Zone,
    /// Whether discovery lists it, including as draining.
    pub is_listed: bool,
    /// Whether this gateway considers it dead: it has failed and not responded since.
    pub is_dead: bool,
    /// Whether it is warming up.
    pub is_warming_up: bool,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// Microseconds since the last attempt was sent to it, if any.
    pub since_last_send_us: Option<u64>,
    /// The units that it served for this gateway during the last seconds.
    pub units: u64,
    /// Whether an attempt has failed there since the last report.
    pub has_failed: bool,
}

/// The usage of a volume at a gateway, in thousandths of a unit per second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeMeasurement {
    /// The usage of the volume.
    pub used: u64,
    /// The part of the usage that each backend could serve: the backend that did, and every other one that holds the same shard.
    pub servable_by: BTreeMap<BackendId, u64>,
}

/// All measurements of a gateway. Each report is complete, not incremental.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurements {
    /// Whether the list of backends is known.
    pub is_complete: bool,
    /// All backends.
    pub backends: BTreeMap<BackendId, BackendMeasurement>,
    /// The largest reservation of a plan, in thousandths of a unit per second.
    pub max_reservation: u64,
    /// All volumes that are in use.
    pub volumes: BTreeMap<Volume, VolumeMeasurement>,
}

/// Returns the time `micros` microseconds before `now`. Members send durations because times of different clocks cannot be
/// compared.
pub(crate) fn time_before(now: Time, micros: u64) -> Time {
    Time(now.0.saturating_sub(micros))
}
