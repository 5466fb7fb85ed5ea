//! The section `[iscsi]`: the front for initiators, and its LUNs.
use crate::{fault, Class, Fault};
use serde::Deserialize;
use std::net::SocketAddr;

/// One LUN of the iSCSI front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lun {
    /// Its number.
    pub lun: u8,
    /// The volume that it shows (16 hex digits).
    pub volume: String,
    /// The volume's plan.
    pub plan: String,
    /// The shard that holds the data.
    pub shard: u32,
    /// The class of its reads.
    pub read_class: String,
    /// The class of its writes.
    pub write_class: String,
    /// Blocks of 512 bytes.
    pub blocks: u32,
    /// How long a command waits for its answer; the class's deadline where it is left out.
    pub deadline_ms: Option<u64>,
    /// Blocks that make one piece of data.
    #[serde(default = "eight")]
    pub piece_blocks: u32,
    /// Blocks that count as one unit.
    #[serde(default = "eight")]
    pub unit_blocks: u32,
    /// Fronts through which the volume's requests come.
    #[serde(default = "one")]
    pub hosts: u32,
}

fn eight() -> u32 {
    8
}

fn one() -> u32 {
    1
}

fn kept() -> u64 {
    120
}

/// The iSCSI front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Iscsi {
    /// Where initiators connect.
    pub listen: SocketAddr,
    /// The target's name.
    pub target: String,
    /// For how many seconds the result of a write is kept for a reissue after a reconnect.
    #[serde(default = "kept")]
    pub record_s: u64,
    /// Its LUNs.
    #[serde(default, rename = "lun")]
    pub luns: Vec<Lun>,
}

/// Names the first key of the section that cannot work with these classes and plans.
pub(crate) fn check(iscsi: &Iscsi, classes: &[Class], plans: &[String]) -> Result<(), Fault> {
    if !iscsi.target.starts_with("iqn.") || iscsi.target.len() > 223 {
        return fault("iscsi.target", "must be an iqn. name of at most 223 characters");
    }
    if iscsi.luns.is_empty() {
        return fault("iscsi.lun", "one at least is needed");
    }
    if iscsi.record_s == 0 {
        return fault("iscsi.record_s", "must be above 0");
    }
    for (i, lun) in iscsi.luns.iter().enumerate() {
        let key = |k: &str| format!("iscsi.lun[{i}].{k}");
        if iscsi.luns[..i].iter().any(|l| l.lun == lun.lun) {
            return fault(key("lun"), "is there twice");
        }
        if lun.volume.len() != 16 || !lun.volume.bytes().all(|b| b.is_ascii_hexdigit()) {
            return fault(key("volume"), "must be 16 hex digits");
        }
        if !plans.contains(&lun.plan) {
            return fault(key("plan"), format!("unknown plan {:?}", lun.plan));
        }
        for (k, class, write) in
            [("read_class", &lun.read_class, false), ("write_class", &lun.write_class, true)]
        {
            match classes.iter().find(|c| c.name == *class) {
                None => return fault(key(k), format!("unknown class {class:?}")),
                Some(c) if c.write.is_some_and(|w| w != write) => {
                    return fault(key(k), format!("class {class:?} is of the other kind"))
                }
                Some(_) => {}
            }
        }
        for (k, figure) in [
            ("blocks", lun.blocks),
            ("piece_blocks", lun.piece_blocks),
            ("unit_blocks", lun.unit_blocks),
            ("hosts", lun.hosts),
        ] {
            if figure == 0 {
                return fault(key(k), "must be above 0");
            }
        }
        if lun.deadline_ms == Some(0) {
            return fault(key("deadline_ms"), "must be above 0");
        }
    }
    Ok(())
}
