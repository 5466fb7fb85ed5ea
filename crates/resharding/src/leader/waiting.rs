//! The times that the leader keeps for each migration: how long it is at its stage, and the hand-over backoff.
use crate::phase::Phase;
use cluster_types::{Index, Time};

/// The stage of a migration. Phases in which the leader measures no time are all `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum WaitingStage {
    Other,
    HandOver { freeze: Index },
    Release { epoch: Index },
    RolledBack,
}

impl From<&Phase> for WaitingStage {
    fn from(phase: &Phase) -> WaitingStage {
        match phase {
            Phase::HandOver { freeze, .. } => WaitingStage::HandOver { freeze: *freeze },
            Phase::Release { epoch } => WaitingStage::Release { epoch: *epoch },
            Phase::RolledBack { .. } => WaitingStage::RolledBack,
            Phase::Prepare | Phase::Copy | Phase::CatchUp | Phase::Switch { .. } => WaitingStage::Other,
        }
    }
}

/// The stage of a migration and since when the leader has seen it there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StageSpan {
    pub(super) stage: WaitingStage,
    pub(super) since: Time,
}

/// The backoff after hand-overs that timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HandOverBackoff {
    pub(super) failures: u32,
    pub(super) until: Time,
}
