//! The tables `[[gather]]` of an operator's file: answers that are gathered from parts. What they say in themselves is
//! checked by `gather`; here it is checked against the rest of the file.
use crate::file::FileIn;
use crate::{fault, Class, Fault, Iscsi};
use cluster_types::{BlockRange, Volume};
use scatter_gather::Policy;
use std::time::Duration;

/// So much of the memory may be held by parts, as a divisor.
pub const MEMORY_SHARE: u64 = 8;

/// What a file says apart from the tables, as far as they depend on it.
pub(crate) struct Beside<'a> {
    /// Whether clients can be told of an answer in part: RESP2 can.
    pub says_in_part: bool,
    /// Classes.
    pub classes: &'a [Class],
    /// Halls; none where they are not listed.
    pub halls: &'a [String],
    /// How many shards there are, where that is known.
    pub shards: Option<u32>,
    /// LUNs, which say what blocks of a volume are.
    pub iscsi: Option<&'a Iscsi>,
    /// Memory, in MB.
    pub memory_mb: u64,
}

impl<'a> Beside<'a> {
    pub(crate) fn of(
        file: &'a FileIn,
        classes: &'a [Class],
        halls: &'a [String],
        shards: Option<u32>,
    ) -> Self {
        Beside {
            says_in_part: file.listen.is_some(),
            classes,
            halls,
            shards,
            iscsi: file.iscsi.as_ref(),
            memory_mb: file.limits.memory_mb,
        }
    }
}

/// Names the first key of a `[[gather]]` table that cannot work.
pub(crate) fn check<'a>(
    gathers: impl IntoIterator<Item = &'a Policy>,
    beside: &Beside<'_>,
) -> Result<(), Fault> {
    let gathers: Vec<Policy> = gathers.into_iter().cloned().collect();
    let class = |c: &Class| scatter_gather::RequestClass {
        name: c.name.clone(),
        is_write: c.write,
        deadline: Duration::from_micros(u64::try_from(c.deadline.0).unwrap_or(0)),
    };
    let classes: Vec<scatter_gather::RequestClass> = beside.classes.iter().map(class).collect();
    scatter_gather::check_all(&gathers, beside.says_in_part, &classes)
        .map_err(|f| Fault { key: f.key, reason: f.reason.to_string() })?;
    for (i, policy) in gathers.iter().enumerate() {
        // Guards the program's memory, of which all gathers together have a share.
        let share = beside.memory_mb.min(192) * 1024 * 1024 / MEMORY_SHARE;
        if policy.max_total_bytes > share {
            let reason =
                format!("is more than the {share} bytes that limits.memory_mb leaves to all gathers");
            return fault(format!("gather[{i}].most_bytes"), reason);
        }
        for (k, part) in policy.requests.iter().enumerate() {
            let key = |of: &str| format!("gather[{i}].part[{k}].{of}");
            if part.backend.is_some() {
                return fault(key("box"), "requests go by shards here: say shard instead");
            }
            if let (Some(shard), Some(count)) = (part.shard, beside.shards) {
                if shard >= count {
                    return fault(key("shard"), format!("is not below {count}, the number of shards"));
                }
            }
            if !beside.halls.is_empty() && !beside.halls.iter().any(|h| **h == *part.zone.0) {
                return fault(key("hall"), format!("{:?} is none of settings.Zones", part.zone.0));
            }
            if let Some(blocks) = &part.blocks {
                check_blocks(key("blocks"), beside.iscsi, policy.volume_of(part), blocks)?;
            }
        }
    }
    Ok(())
}

/// Guards against blocks that no box would know from a piece: only a LUN says how blocks lie on its volume.
fn check_blocks(
    key: String,
    iscsi: Option<&Iscsi>,
    volume: &Volume,
    blocks: &BlockRange,
) -> Result<(), Fault> {
    let lun = iscsi.and_then(|iscsi| iscsi.luns.iter().find(|l| *l.volume == *volume.0));
    match lun {
        None => fault(key, "the volume has no LUN under iscsi.lun: say piece instead"),
        Some(lun) if blocks.end > u64::from(lun.blocks) => {
            fault(key, format!("end beyond the LUN's {} blocks", lun.blocks))
        }
        Some(_) => Ok(()),
    }
}
