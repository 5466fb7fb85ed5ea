//! Grants: backends that are out of service for maintenance.
use cluster_types::{BackendId, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A grant. The log index of its command identifies it. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request.
    pub name: String,
    /// The backends that are still out of service under it.
    pub backends: BTreeSet<BackendId>,
    /// The members that have drained them in their present incarnation.
    pub drained_by: BTreeSet<MemberId>,
    /// The log time in milliseconds at which all members had drained and the operator was asked to open the backends.
    pub drained_ms: Option<u64>,
    /// How long the backends may be open, in milliseconds.
    pub work_ms: u64,
    /// Whether [`crate::Effect::Overdue`] was reported.
    pub is_overdue_reported: bool,
}

impl Grant {
    pub(crate) fn new(name: &str, backends: BTreeSet<BackendId>, work_ms: u64) -> Grant {
        Grant {
            name: name.into(),
            backends,
            drained_by: BTreeSet::new(),
            drained_ms: None,
            work_ms,
            is_overdue_reported: false,
        }
    }

    /// Whether all members have drained the backends, so that they may be open.
    pub fn is_drained(&self) -> bool {
        self.drained_ms.is_some()
    }
}
