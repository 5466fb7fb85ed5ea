//! The leader's view of the cluster.
use crate::facts::{BackendFacts, VolumeFacts};
use cluster_types::{BackendId, Index, MemberId, Volume};
use std::collections::BTreeMap;

/// The measurements that the leader has collected from all members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// All members whose measurements are included had applied the log at least up to this index when they measured.
    pub min_applied: Index,
    /// Whether the backends and measurements are complete. Until then, no missing backend is considered unlisted and none is
    /// granted.
    pub is_complete: bool,
    /// All backends.
    pub backends: BTreeMap<BackendId, BackendFacts>,
    /// All volumes.
    pub volumes: BTreeMap<Volume, VolumeFacts>,
    /// Each member's usual traffic to a backend, in any unit; members without an entry send nothing.
    pub traffic: BTreeMap<BackendId, BTreeMap<MemberId, u64>>,
    /// How long each recovering backend has been healthy at its stage, in milliseconds ([`crate::StageTimer`]).
    pub healthy_ms: BTreeMap<BackendId, u64>,
}

impl ClusterView {
    /// A member's usual traffic to a backend.
    pub(super) fn traffic(&self, backend: &BackendId, member: &MemberId) -> u64 {
        self.traffic.get(backend).and_then(|members| members.get(member)).copied().unwrap_or(0)
    }
}
