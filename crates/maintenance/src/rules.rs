//! What operators state: how many boxes may be out, and how a box comes back.
use serde::{Deserialize, Serialize};
use std::fmt;

/// The rules. They are a part of the replicated state and change by [`crate::Command::Rules`] alone, so that fronts whose
/// files differ for a while still come to the same state. Before any are in the log nothing may go out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// How many boxes may be out at once in the whole.
    pub out: u32,
    /// How many in a hall.
    pub out_hall: u32,
    /// How many of a volume's boxes.
    pub out_volume: u32,
    /// How old a measure may be, by the log's time, for a grant to rest on it.
    pub fresh_ms: u64,
    /// For how long a box that is no longer listed counts as out: discovery also drops what has died.
    pub gone_ms: u64,
    /// The stages of coming back: parts per thousand of the box's cold budget, growing.
    pub stages: Vec<u16>,
    /// How long a stage lasts without a failure before the next.
    pub stage_ms: u64,
}

impl Default for Rules {
    /// Nothing may go out.
    fn default() -> Rules {
        Rules {
            out: 0,
            out_hall: 0,
            out_volume: 0,
            fresh_ms: 10_000,
            gone_ms: 600_000,
            stages: vec![250, 500, 1000],
            stage_ms: 10_000,
        }
    }
}

/// What is wrong with rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The key.
    pub key: String,
    /// Why.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl Rules {
    /// Whether they make sense; the first fault otherwise.
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, reason: &str| Err(Fault { key: key.into(), reason: reason.into() });
        if self.out_hall > self.out {
            return fault("out_hall", "is more than out");
        }
        if self.out_volume > self.out {
            return fault("out_volume", "is more than out");
        }
        if self.fresh_ms == 0 {
            return fault("fresh_ms", "must be above 0: no measure would ever be fresh");
        }
        if self.stages.is_empty() || self.stages.len() > 16 {
            return fault("stages", "must be 1 to 16 stages");
        }
        if self.stages[0] == 0 || self.stages.windows(2).any(|w| w[0] >= w[1]) {
            return fault("stages", "must grow");
        }
        if self.last_share() > 1000 {
            return fault("stages", "are parts per thousand");
        }
        Ok(())
    }

    /// The number of the last stage.
    pub(crate) fn last_stage(&self) -> usize {
        self.stages.len().saturating_sub(1)
    }

    /// What a stage gives of the cold budget.
    pub(crate) fn share(&self, stage: usize) -> u16 {
        self.stages.get(stage).copied().unwrap_or_else(|| self.last_share())
    }

    fn last_share(&self) -> u16 {
        self.stages.last().copied().unwrap_or(0)
    }
}
