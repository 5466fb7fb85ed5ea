//! Parts of a gather as requests of the module, and the module's answers as their ends.
use crate::backend::pool::BackendPool;
use crate::backend::value::{Answer, Value};
use crate::context::Context;
use crate::scatter_gather::handle::Begin;
use cluster_types::Zone;
use config::Config;
use dispatch::{Bytes, Extent, Request};
use scatter_gather::{Ended, GatherId};
use scheduler::interface::{Micros, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// Disk boxes take names of 256 bytes; a part's has the client's in front.
const NAME: usize = 200;

/// A part that is out.
pub struct Part {
    /// Its gather.
    pub gather: GatherId,
    /// Its place in the tier.
    pub endpoint: usize,
    /// Its hall.
    pub hall: Zone,
    /// When it was asked.
    pub asked: Micros,
    /// Until when its request may run.
    pub until: Micros,
}

/// A part's request; none where the configuration in force does not have what it names.
pub fn part(
    config: &Config,
    begin: &Begin,
    endpoint: usize,
    number: RequestId,
    until: Micros,
) -> Option<Request> {
    let (policy, client) = (&begin.policy, &begin.request);
    let part = policy.parts.get(endpoint)?;
    let volume = &policy.volume_of(part).0;
    let (piece, extent, units) = match (&part.piece, &part.blocks) {
        (Some(piece), _) => (Rc::from(&**piece), None, client.units),
        (None, Some(blocks)) => {
            // As the iSCSI front asks for blocks.
            let lun = config.iscsi.as_ref()?.luns.iter().find(|l| *l.volume == **volume)?;
            let count = u32::try_from(blocks.len()).ok()?;
            let most = (config.settings.max_request_units as u32).max(1);
            let piece = format!("{:016x}", blocks.first / u64::from(lun.piece_blocks.max(1)));
            let units = count.div_ceil(lun.unit_blocks.max(1)).clamp(1, most);
            (piece.into(), Some(Extent { first: blocks.first, blocks: count }), units)
        }
        _ => return None,
    };
    // The number makes it unique: the client may use its own name again while late parts still run.
    let name = client.name.get(..NAME).unwrap_or(&client.name);
    Some(Request {
        name: format!("{name}~{:x}.{endpoint}", number.0).into(),
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
        // Values come whole: a part that stops half-way must count as missing.
        accepts_stream: false,
        extent,
        deadline: until,
    })
}

/// How a part ended.
pub fn ended(context: &Context, pool: &BackendPool, part: &Part, answer: Answer) -> Ended<Bytes> {
    match answer {
        Answer::Served(Value::Complete(value)) => Ended::Served(value),
        Answer::Served(Value::Streamed(_)) => Ended::Failed { reason: "too long".into(), reached: true },
        Answer::Rejected(hint) => {
            Ended::Refused(hint.map(|h| Duration::from_micros(u64::try_from(h.0).unwrap_or(0))))
        }
        Answer::Failed(reason) => {
            let reached = answers(context, pool, part);
            Ended::Failed { reason: reason.into(), reached }
        }
    }
}

/// Whether a box of the part's hall has answered anything since the part was asked: then the hall can be reached, and the
/// failure says nothing against it.
fn answers(context: &Context, pool: &BackendPool, part: &Part) -> bool {
    let config = context.config();
    pool.endpoints().iter().any(|endpoint| {
        let zone = endpoint.entry.borrow().zone as usize;
        let there = config.zones.get(zone).is_some_and(|hall| **hall == *part.hall.0);
        there && endpoint.statistics.last_answered().is_some_and(|at| at >= part.asked)
    })
}
