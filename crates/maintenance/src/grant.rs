//! Grants: backends that are out of service for maintenance.
use cluster_types::{BackendId, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Backends that were taken out of service by one command, whose log index identifies the grant.
///
/// Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The name of the request.
    pub name: String,
    /// The backends of the grant that have not been returned.
    pub backends: BTreeSet<BackendId>,
    /// The members that have drained the backends in their current incarnation.
    pub drained_by: BTreeSet<MemberId>,
    /// The log time in milliseconds at which all members had drained the backends and the operator could start work.
    pub drained_at_ms: Option<u64>,
    /// How long work on the backends may take, in milliseconds.
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
            drained_at_ms: None,
            work_ms,
            is_overdue_reported: false,
        }
    }

    /// Whether all members have drained the backends, so that work on them may start.
    pub fn is_drained(&self) -> bool {
        self.drained_at_ms.is_some()
    }
}
