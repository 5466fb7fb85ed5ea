//! Reports of relays on the progress of their gateways. Their size does not grow with the fleet.
use crate::key::MAX_NAME_BYTES;
use crate::rejection::{Rejection, MAX_REASON_BYTES};
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum number of lagging gateways, and of rejections, that a report lists; further ones are only counted.
pub const MAX_REPORTED_GATEWAYS: usize = 8;

/// The maximum length of a relay's or gateway's name in a report, in bytes: a character takes at most four.
const MAX_MEMBER_NAME_BYTES: usize = 4 * MAX_NAME_BYTES;

/// A gateway that has not acknowledged a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The gateway.
    pub gateway: Arc<str>,
    /// The first version that it has not acknowledged.
    pub first_pending: Index,
    /// The reason, as far as its relay can tell.
    pub reason: String,
}

/// A rejection and the gateway that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRejection {
    /// The gateway.
    pub gateway: Arc<str>,
    /// The rejected value.
    pub rejection: Rejection,
}

/// A relay's report on the gateways that it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The relay.
    pub relay: Arc<str>,
    /// Increases with each report of the relay; a report that is not newer is ignored.
    pub sequence: u64,
    /// The version up to which the relay itself has applied the log.
    pub applied: Index,
    /// The number of gateways that it serves.
    pub gateways: u32,
    /// The number of gateways that have not acknowledged all changes.
    pub lagging: u32,
    /// The gateways that lag furthest behind, furthest first.
    pub lags: Vec<Lag>,
    /// The number of gateways that reject a value.
    pub rejecting: u32,
    /// The rejections, at most [`MAX_REPORTED_GATEWAYS`] of them.
    pub rejections: Vec<GatewayRejection>,
}

impl Report {
    /// Whether it is within the limits for reports.
    pub(crate) fn is_bounded(&self) -> bool {
        let is_bounded_name = |name: &str| name.len() <= MAX_MEMBER_NAME_BYTES;
        is_bounded_name(&self.relay)
            && self.lags.len() <= MAX_REPORTED_GATEWAYS
            && self
                .lags
                .iter()
                .all(|lag| is_bounded_name(&lag.gateway) && lag.reason.len() <= MAX_REASON_BYTES)
            && self.rejections.len() <= MAX_REPORTED_GATEWAYS
            && self
                .rejections
                .iter()
                .all(|found| is_bounded_name(&found.gateway) && found.rejection.is_bounded())
    }

    /// Whether the relay has applied a version and all its gateways have acknowledged it.
    pub fn is_acknowledged(&self, version: Index) -> bool {
        self.applied >= version && self.lags.first().is_none_or(|lag| lag.first_pending > version)
    }
}
