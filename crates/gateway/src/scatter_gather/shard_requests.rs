//! Shard requests as requests to the scheduler, and its answers as shard responses.
use crate::backend::pool::BackendPool;
use crate::backend::value::{Answer, Value};
use crate::context::Context;
use crate::scatter_gather::handle::GatherRequest;
use cluster_types::Zone;
use config::Config;
use dispatch::{Bytes, Extent, Request};
use scatter_gather::{GatherId, ShardResponse};
use scheduler::interface::{Micros, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// The part of the client's request id that a shard request's id begins with, in bytes: backends accept ids of 256 bytes.
const ID_PREFIX_BYTES: usize = 200;

/// A gather that is not answered yet.
pub struct OpenGather {
    /// The client's request.
    pub gather_request: GatherRequest,
    /// For each shard request its number, once it was submitted.
    pub shard_requests: Vec<Option<RequestId>>,
}

/// A shard request in flight.
pub struct InFlight {
    /// Its gather.
    pub gather: GatherId,
    /// Its index in the policy's list of requests.
    pub index: usize,
    /// The zone of its shard.
    pub zone: Zone,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Its deadline.
    pub deadline: Micros,
}

/// A shard request; `None` where the effective configuration does not have what it names.
pub fn shard_request(
    config: &Config,
    gather_request: &GatherRequest,
    index: usize,
    number: RequestId,
    deadline: Micros,
) -> Option<Request> {
    let (policy, client) = (&gather_request.policy, &gather_request.request);
    let part = policy.requests.get(index)?;
    let volume = &policy.volume_of(part).0;
    let (piece, extent, units) = match (&part.piece, &part.blocks) {
        (Some(piece), _) => (Rc::from(&**piece), None, client.units),
        (None, Some(blocks)) => {
            // The same mapping as that of the iSCSI target.
            let lun = config.iscsi.as_ref()?.luns.iter().find(|lun| *lun.volume == **volume)?;
            let count = u32::try_from(blocks.len()).ok()?;
            let max_units = (config.settings.max_request_units as u32).max(1);
            let piece = format!("{:016x}", blocks.first / u64::from(lun.piece_blocks.max(1)));
            let units = count.div_ceil(lun.unit_blocks.max(1)).clamp(1, max_units);
            (piece.into(), Some(Extent { first: blocks.first, blocks: count }), units)
        }
        _ => return None,
    };
    // The number makes the id unique: the client may reuse its own while late shard requests still run.
    let name = client.name.get(..ID_PREFIX_BYTES).unwrap_or(&client.name);
    Some(Request {
        name: format!("{name}~{:x}.{index}", number.0).into(),
        class: client.class,
        plan: client.plan,
        is_write: false,
        key: piece,
        volume: (&**volume).into(),
        units,
        shard: part.shard,
        volume_gateways: client.volume_gateways,
        extra: client.extra.clone(),
        body: None,
        // A streamed value can fail midway, when its shard can no longer be reported as missing.
        accepts_stream: false,
        extent,
        deadline,
    })
}

/// The shard response by the scheduler's answer.
pub fn shard_response(
    context: &Context,
    pool: &BackendPool,
    in_flight: &InFlight,
    answer: Answer,
) -> ShardResponse<Bytes> {
    match answer {
        Answer::Served(Value::Complete(value)) => ShardResponse::Value(value),
        Answer::Served(Value::Streamed(_)) => {
            ShardResponse::Failed { reason: "too long".into(), is_zone_reachable: true }
        }
        Answer::Rejected(retry_after) => ShardResponse::Rejected(
            retry_after.map(|wait| Duration::from_micros(u64::try_from(wait.0).unwrap_or(0))),
        ),
        Answer::Failed(reason) => {
            let is_zone_reachable = is_zone_reachable(context, pool, in_flight);
            ShardResponse::Failed { reason: reason.into(), is_zone_reachable }
        }
    }
}

/// Whether a backend of the shard request's zone has answered since the request was submitted: then the zone is reachable, and the
/// failure is no evidence against it.
fn is_zone_reachable(context: &Context, pool: &BackendPool, in_flight: &InFlight) -> bool {
    let config = context.config();
    pool.endpoints().iter().any(|endpoint| {
        let zone = endpoint.entry.borrow().zone as usize;
        let is_same_zone = config.zones.get(zone).is_some_and(|name| **name == *in_flight.zone.0);
        is_same_zone && endpoint.statistics.last_answered().is_some_and(|at| at >= in_flight.submitted_at)
    })
}

/// The zone of this gateway, where that is configured.
pub fn own_zone(context: &Context) -> Option<Zone> {
    context.config().coordination.as_ref().map(|section| Zone(section.zone.as_str().into()))
}
