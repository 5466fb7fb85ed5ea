//! The section `[iscsi]`: the target for initiators, and its LUNs.
use crate::error::invalid;
use crate::{Class, ConfigError};
use serde::Deserialize;
use std::net::SocketAddr;

/// A LUN of the iSCSI target.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lun {
    /// Its number.
    pub lun: u8,
    /// The volume behind it (16 hex digits).
    pub volume: String,
    /// The volume's plan.
    pub plan: String,
    /// The shard that holds the data.
    pub shard: u32,
    /// The class of its reads.
    pub read_class: String,
    /// The class of its writes.
    pub write_class: String,
    /// The size, in blocks of 512 bytes.
    pub blocks: u32,
    /// Milliseconds after which a command fails; the deadline of the class if omitted.
    pub deadline_ms: Option<u64>,
    /// Blocks in one piece of data.
    #[serde(default = "default_blocks")]
    pub piece_blocks: u32,
    /// Blocks that count as one unit of work.
    #[serde(default = "default_blocks")]
    pub unit_blocks: u32,
    /// The number of gateways that send requests for the volume.
    #[serde(default = "default_hosts")]
    pub hosts: u32,
}

fn default_blocks() -> u32 {
    8
}

fn default_hosts() -> u32 {
    1
}

fn default_record_s() -> u64 {
    120
}

/// The iSCSI target.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Iscsi {
    /// Where initiators connect.
    pub listen: SocketAddr,
    /// The target's iSCSI name.
    pub target: String,
    /// Seconds for which the outcome of a write is recorded, for initiators that retry it after a reconnect.
    #[serde(default = "default_record_s")]
    pub record_s: u64,
    /// Its LUNs.
    #[serde(default, rename = "lun")]
    pub luns: Vec<Lun>,
}

/// Reports the first key of the section that is invalid with these classes and plans.
pub(crate) fn check(iscsi: &Iscsi, classes: &[Class], plans: &[String]) -> Result<(), ConfigError> {
    if !iscsi.target.starts_with("iqn.") || iscsi.target.len() > 223 {
        return invalid("iscsi.target", "must be an iqn. name of at most 223 characters");
    }
    if iscsi.luns.is_empty() {
        return invalid("iscsi.lun", "one at least is needed");
    }
    if iscsi.record_s == 0 {
        return invalid("iscsi.record_s", "must be above 0");
    }
    for (index, lun) in iscsi.luns.iter().enumerate() {
        let key = |field: &str| format!("iscsi.lun[{index}].{field}");
        if iscsi.luns[..index].iter().any(|earlier| earlier.lun == lun.lun) {
            return invalid(key("lun"), "is there twice");
        }
        check_lun(lun, key, classes, plans)?;
    }
    Ok(())
}

fn check_lun(
    lun: &Lun,
    key: impl Fn(&str) -> String,
    classes: &[Class],
    plans: &[String],
) -> Result<(), ConfigError> {
    if lun.volume.len() != 16 || !lun.volume.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return invalid(key("volume"), "must be 16 hex digits");
    }
    if !plans.contains(&lun.plan) {
        return invalid(key("plan"), format!("unknown plan {:?}", lun.plan));
    }
    for (field, name, writes) in
        [("read_class", &lun.read_class, false), ("write_class", &lun.write_class, true)]
    {
        match classes.iter().find(|class| class.name == *name) {
            None => return invalid(key(field), format!("unknown class {name:?}")),
            Some(class) if class.write == Some(!writes) => {
                return invalid(key(field), format!("class {name:?} is of the other kind"))
            }
            Some(_) => {}
        }
    }
    let counts = [
        ("blocks", lun.blocks),
        ("piece_blocks", lun.piece_blocks),
        ("unit_blocks", lun.unit_blocks),
        ("hosts", lun.hosts),
    ];
    if let Some((field, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
        return invalid(key(field), "must be above 0");
    }
    if lun.deadline_ms == Some(0) {
        return invalid(key("deadline_ms"), "must be above 0");
    }
    Ok(())
}
