//! Relays' reports on how far their gateways have applied the log. Their size does not grow with the fleet.
use crate::key::MAX_NAME_BYTES;
use crate::rejection::{Rejection, MAX_REASON_BYTES};
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most lagging gateways and the most rejections that a report names; the others are counted.
pub const MAX_REPORTED_GATEWAYS: usize = 8;

/// The longest name of a relay or a gateway in a report, in bytes: a character takes four at most.
const MAX_MEMBER_NAME_BYTES: usize = 4 * MAX_NAME_BYTES;

/// A gateway that has not acknowledged a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The gateway.
    pub gateway: Arc<str>,
    /// The first version that it has not acknowledged.
    pub first_pending: Index,
    /// Why, as far as its relay can see.
    pub reason: String,
}

/// A rejection and the gateway that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRejection {
    /// The gateway.
    pub gateway: Arc<str>,
    /// What it rejects.
    pub rejection: Rejection,
}

/// What one relay reports of the gateways that it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The relay.
    pub relay: Arc<str>,
    /// Grows with each report of the relay; a report that is not newer is ignored.
    pub sequence: u64,
    /// The version up to which the relay itself holds everything.
    pub applied: Index,
    /// The number of gateways that it serves.
    pub gateways: u32,
    /// How many of them have not acknowledged everything.
    pub lagging: u32,
    /// Those that lag furthest behind, the furthest first.
    pub lags: Vec<Lag>,
    /// How many gateways reject a value.
    pub rejecting: u32,
    /// Some of the rejections.
    pub rejections: Vec<GatewayRejection>,
}

impl Report {
    /// Whether it is no longer than a relay's may be.
    pub(crate) fn is_bounded(&self) -> bool {
        let is_name = |name: &str| name.len() <= MAX_MEMBER_NAME_BYTES;
        is_name(&self.relay)
            && self.lags.len() <= MAX_REPORTED_GATEWAYS
            && self.lags.iter().all(|lag| is_name(&lag.gateway) && lag.reason.len() <= MAX_REASON_BYTES)
            && self.rejections.len() <= MAX_REPORTED_GATEWAYS
            && self.rejections.iter().all(|found| is_name(&found.gateway) && found.rejection.is_bounded())
    }

    /// Whether the relay and all its gateways have everything up to that version.
    pub fn is_settled(&self, version: Index) -> bool {
        self.applied >= version && self.lags.first().is_none_or(|lag| lag.first_pending > version)
    }
}
