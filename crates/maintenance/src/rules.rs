//! The operators' rules: how many backends may be out of service, and how a backend recovers.
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The full cold budget, in the unit of [`Rules::stages`].
const FULL_PERMILLE: u16 = 1000;
/// The maximum number of recovery stages.
const MAX_STAGES: usize = 16;

/// The rules. They are part of the replicated state and change only by [`crate::Command::SetRules`], so that members whose
/// configuration files differ for a while still reach the same state. Until the log holds rules, nothing is granted.
///
/// Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// How many backends may be out of service at once.
    pub max_out: u32,
    /// How many backends of one zone may be out of service at once.
    pub max_out_per_zone: u32,
    /// How many of the backends that store one volume may be out of service at once.
    pub max_out_per_volume: u32,
    /// The maximum age, in log time, of the measurements that a grant depends on.
    pub max_measurement_age_ms: u64,
    /// How long a backend that is no longer listed counts as out of service: discovery also drops failed backends.
    pub unlisted_grace_ms: u64,
    /// The stages of a recovery, in thousandths of the backend's cold budget, increasing.
    pub stages: Vec<u16>,
    /// How long a stage must last without a failure before the next one begins.
    pub stage_ms: u64,
}

impl Default for Rules {
    /// No backend may be taken out of service.
    fn default() -> Rules {
        Rules {
            max_out: 0,
            max_out_per_zone: 0,
            max_out_per_volume: 0,
            max_measurement_age_ms: 10_000,
            unlisted_grace_ms: 600_000,
            stages: vec![250, 500, FULL_PERMILLE],
            stage_ms: 10_000,
        }
    }
}

/// Why rules were rejected. The messages begin with the key of the setting at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RulesError {
    /// [`Rules::max_out_per_zone`] is above [`Rules::max_out`].
    #[error("out_hall: is more than out")]
    ZoneAboveTotal,
    /// [`Rules::max_out_per_volume`] is above [`Rules::max_out`].
    #[error("out_volume: is more than out")]
    VolumeAboveTotal,
    /// [`Rules::max_measurement_age_ms`] is 0.
    #[error("fresh_ms: must be above 0: no measure would ever be fresh")]
    ZeroMeasurementAge,
    /// There are no [`Rules::stages`], or too many.
    #[error("stages: must be 1 to 16 stages")]
    StageCount,
    /// [`Rules::stages`] do not increase, or begin at 0.
    #[error("stages: must grow")]
    StagesNotIncreasing,
    /// The last of [`Rules::stages`] is above the full cold budget.
    #[error("stages: are parts per thousand")]
    StageAboveBudget,
}

impl Rules {
    /// Checks that the rules are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn check(&self) -> Result<(), RulesError> {
        if self.max_out_per_zone > self.max_out {
            return Err(RulesError::ZoneAboveTotal);
        }
        if self.max_out_per_volume > self.max_out {
            return Err(RulesError::VolumeAboveTotal);
        }
        if self.max_measurement_age_ms == 0 {
            return Err(RulesError::ZeroMeasurementAge);
        }
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(RulesError::StageCount);
        }
        if self.stages[0] == 0 || self.stages.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(RulesError::StagesNotIncreasing);
        }
        if self.last_stage_permille() > FULL_PERMILLE {
            return Err(RulesError::StageAboveBudget);
        }
        Ok(())
    }

    /// The index of the last stage.
    pub(crate) fn last_stage(&self) -> usize {
        self.stages.len().saturating_sub(1)
    }

    /// The part of the cold budget that a stage allows; stages beyond the last allow as much as the last.
    pub(crate) fn stage_permille(&self, stage: usize) -> u16 {
        self.stages.get(stage).copied().unwrap_or_else(|| self.last_stage_permille())
    }

    fn last_stage_permille(&self) -> u16 {
        self.stages.last().copied().unwrap_or(0)
    }
}
