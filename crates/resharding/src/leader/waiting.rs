//! How long the leader has waited for migrations.
use crate::phase::Phase;
use cluster_types::{Index, Time};

/// The step that a migration is at, as far as the leader waits in it.
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

/// Since when the leader has seen a migration at a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StageSpan {
    pub(super) stage: WaitingStage,
    pub(super) since: Time,
}

/// The wait between hand-overs that took too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HandOverBackoff {
    pub(super) failures: u32,
    pub(super) until: Time,
}
