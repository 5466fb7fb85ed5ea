//! The tables `[[gather]]` of an operator's file: scatter-gather policies. The package `scatter-gather` checks each policy by
//! itself; this module checks them against the rest of the file.
use crate::error::invalid;
use crate::file::FileIn;
use crate::{Class, ConfigError, Iscsi};
use cluster_types::{BlockRange, Volume};
use scatter_gather::{Policy, ShardRequest};
use std::time::Duration;

/// Shard responses may use the memory limit divided by this.
pub const MEMORY_DIVISOR: u64 = 8;

/// The most memory that a gateway uses, in MB, even if its limit is higher.
const MAX_MEMORY_MB: u64 = 192;

/// The values in the rest of a file that the policies depend on.
pub(crate) struct PolicyContext<'a> {
    /// Whether there are clients that can receive partial results: only RESP2 clients can.
    pub supports_partial_results: bool,
    /// The classes of the settings.
    pub classes: &'a [Class],
    /// The zones; empty if the settings don't list them.
    pub zones: &'a [String],
    /// The number of shards, if known.
    pub shards: Option<u32>,
    /// The iSCSI target, whose LUNs define the blocks of a volume.
    pub iscsi: Option<&'a Iscsi>,
    /// The memory limit, in MB.
    pub memory_mb: u64,
}

impl<'a> PolicyContext<'a> {
    pub(crate) fn of(
        file: &'a FileIn,
        classes: &'a [Class],
        zones: &'a [String],
        shards: Option<u32>,
    ) -> Self {
        PolicyContext {
            supports_partial_results: file.listen.is_some(),
            classes,
            zones,
            shards,
            iscsi: file.iscsi.as_ref(),
            memory_mb: file.limits.memory_mb,
        }
    }
}

/// Reports the first invalid key of a `[[gather]]` table.
pub(crate) fn check<'a>(
    policies: impl IntoIterator<Item = &'a Policy>,
    context: &PolicyContext<'_>,
) -> Result<(), ConfigError> {
    let policies: Vec<Policy> = policies.into_iter().cloned().collect();
    let class = |class: &Class| scatter_gather::RequestClass {
        name: class.name.clone(),
        is_write: class.write,
        deadline: Duration::from_micros(u64::try_from(class.deadline.0).unwrap_or(0)),
    };
    let classes: Vec<scatter_gather::RequestClass> = context.classes.iter().map(class).collect();
    scatter_gather::check_all(&policies, context.supports_partial_results, &classes)
        .map_err(|error| ConfigError { key: error.key, reason: error.reason.to_string() })?;
    for (index, policy) in policies.iter().enumerate() {
        let memory_limit = context.memory_mb.min(MAX_MEMORY_MB) * 1024 * 1024 / MEMORY_DIVISOR;
        if policy.max_total_bytes > memory_limit {
            let reason =
                format!("is more than the {memory_limit} bytes that limits.memory_mb leaves to all gathers");
            return invalid(format!("gather[{index}].most_bytes"), reason);
        }
        for (part_index, part) in policy.requests.iter().enumerate() {
            check_part(&format!("gather[{index}].part[{part_index}]"), policy, part, context)?;
        }
    }
    Ok(())
}

fn check_part(
    path: &str,
    policy: &Policy,
    part: &ShardRequest,
    context: &PolicyContext<'_>,
) -> Result<(), ConfigError> {
    let key = |field: &str| format!("{path}.{field}");
    if part.backend.is_some() {
        return invalid(key("box"), "requests go by shards here: say shard instead");
    }
    if let (Some(shard), Some(count)) = (part.shard, context.shards) {
        if shard >= count {
            return invalid(key("shard"), format!("is not below {count}, the number of shards"));
        }
    }
    if !context.zones.is_empty() && !context.zones.iter().any(|zone| **zone == *part.zone.0) {
        return invalid(key("hall"), format!("{:?} is none of settings.Zones", part.zone.0));
    }
    match &part.blocks {
        Some(blocks) => check_blocks(key("blocks"), context.iscsi, policy.volume_of(part), blocks),
        None => Ok(()),
    }
}

/// Checks a range of blocks against the LUN of its volume: only a LUN defines how blocks are placed on a volume.
fn check_blocks(
    key: String,
    iscsi: Option<&Iscsi>,
    volume: &Volume,
    blocks: &BlockRange,
) -> Result<(), ConfigError> {
    let lun = iscsi.and_then(|iscsi| iscsi.luns.iter().find(|lun| *lun.volume == *volume.0));
    match lun {
        None => invalid(key, "the volume has no LUN under iscsi.lun: say piece instead"),
        Some(lun) if blocks.end > u64::from(lun.blocks) => {
            invalid(key, format!("end beyond the LUN's {} blocks", lun.blocks))
        }
        Some(_) => Ok(()),
    }
}
