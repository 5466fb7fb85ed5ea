//! Converts SCSI commands of initiators to requests for the scheduler, and final answers to SCSI outcomes.
use crate::backend::value::Answer;
use crate::context::Context;
use config::Iscsi;
use dispatch::{Bytes, Extent, Request};
use iscsi::scsi::Sense;
use iscsi::target::Outcome;
use scheduler::interface::Micros;

/// Converts a command to a request; `None` if the configuration lacks the logical unit, its class or its plan.
pub fn request(
    context: &Context,
    iscsi: &Iscsi,
    lun: u8,
    lba: u64,
    blocks: u32,
    body: Option<Bytes>,
) -> Option<Request> {
    let lun = iscsi.luns.iter().find(|configured| configured.lun == lun)?;
    let config = context.config();
    let name = if body.is_some() { &lun.write_class } else { &lun.read_class };
    let class = config.class(name)?;
    let wait = lun.deadline_ms.map_or(config.classes[class].deadline.0, |ms| ms.saturating_mul(1000) as i64);
    // The scheduler expects no larger requests.
    let max_units = (config.settings.max_request_units as u32).max(1);
    Some(Request {
        name: format!("{:016x}", context.next_request_id().0).into(),
        class,
        plan: config.plan(&lun.plan)?,
        is_write: body.is_some(),
        key: format!("{:016x}", lba / u64::from(lun.piece_blocks)).into(),
        volume: lun.volume.as_str().into(),
        units: blocks.div_ceil(lun.unit_blocks).clamp(1, max_units),
        shard: Some(lun.shard),
        volume_gateways: lun.hosts,
        extra: "".into(),
        body,
        accepts_stream: false,
        extent: Some(Extent { first: lba, blocks }),
        deadline: Micros(context.clock.now().0 + wait),
    })
}

/// Converts a final answer to the outcome of a command.
pub fn outcome(answer: &Answer, is_write: bool) -> Outcome<'_> {
    match answer {
        Answer::Served(value) => Outcome::Good(value.complete_bytes()),
        Answer::Rejected(wait) => Outcome::Busy(wait.map(|wait| (wait.0.max(0) as u64).div_ceil(1000))),
        Answer::Failed(_) if is_write => Outcome::Failed(Sense::WRITE_FAILED),
        Answer::Failed(_) => Outcome::Failed(Sense::READ_FAILED),
    }
}
