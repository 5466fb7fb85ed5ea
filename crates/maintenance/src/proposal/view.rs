//! The cluster as the leader sees it.
use crate::facts::{BackendFacts, VolumeFacts};
use cluster_types::{BackendId, Index, MemberId, Volume};
use std::collections::BTreeMap;

/// What the leader has collected of all members' measurements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Every member whose measurements are included had applied the log up to here when it measured.
    pub min_applied: Index,
    /// Whether the backends and measurements are complete. Until they are, no backend is taken for unlisted and none is
    /// granted.
    pub is_complete: bool,
    /// All backends.
    pub backends: BTreeMap<BackendId, BackendFacts>,
    /// All volumes.
    pub volumes: BTreeMap<Volume, VolumeFacts>,
    /// What each member usually sends to a backend, in any unit; members that are not named send nothing.
    pub traffic: BTreeMap<BackendId, BTreeMap<MemberId, u64>>,
    /// For how long each recovering backend has been healthy at its stage, in milliseconds ([`crate::StageTimer`]).
    pub healthy_ms: BTreeMap<BackendId, u64>,
}

impl ClusterView {
    /// What a member usually sends to a backend.
    pub(super) fn traffic(&self, backend: &BackendId, member: &MemberId) -> u64 {
        self.traffic.get(backend).and_then(|members| members.get(member)).copied().unwrap_or(0)
    }
}
