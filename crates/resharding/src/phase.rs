//! Where a move is, and how fronts stand to it.
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How a front stands to a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It has not acknowledged: it may use the range freely.
    Awaited,
    /// It uses the range under its lease; its newest report.
    Uses {
        /// The front's life.
        life: u64,
        /// Its newest report.
        heard: u64,
    },
    /// It has no right to the range until it acknowledges again.
    Away,
}

/// Where a move is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Fronts acknowledge.
    Prepare,
    /// The range is copied.
    Copy,
    /// All was copied once; what was written behind the copy follows.
    CatchUp,
    /// Writes wait; the fronts that have nothing out there.
    HandOver {
        /// The freeze.
        freeze: Index,
        /// Who has nothing out.
        quiet: BTreeSet<MemberId>,
    },
    /// Committed; writes wait until each front knows; those that do.
    Switch {
        /// The command that did it.
        epoch: Index,
        /// Who knows.
        knows: BTreeSet<MemberId>,
    },
    /// Everything goes on at the new place; the old one is given to nobody yet.
    Release {
        /// The command that did it.
        epoch: Index,
    },
    /// Everything goes on at the old place; the new one is given to nobody yet.
    Back {
        /// Why, in plain words.
        why: String,
    },
}

impl Phase {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            Phase::Prepare => "prepare",
            Phase::Copy => "copy",
            Phase::CatchUp => "catch up",
            Phase::HandOver { .. } => "hand over",
            Phase::Switch { .. } => "switch",
            Phase::Release { .. } => "release",
            Phase::Back { .. } => "back",
        }
    }

    /// Whether the range is used under leases only.
    pub fn moves(&self) -> bool {
        !matches!(self, Phase::Release { .. } | Phase::Back { .. })
    }

    /// Whether the way back is open.
    pub fn may_go_back(&self) -> bool {
        matches!(self, Phase::Prepare | Phase::Copy | Phase::CatchUp | Phase::HandOver { .. })
    }
}
