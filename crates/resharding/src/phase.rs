//! The phases of a migration, and the standing of members in it.
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The standing of a member in a migration. Stored: the variants and their fields keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberStanding {
    /// It has not acknowledged the migration and may use the range without a lease.
    Unacknowledged,
    /// It uses the range under its lease.
    Leased {
        /// The member's incarnation.
        incarnation: u64,
        /// The newest of its reports in the log.
        last_report: u64,
    },
    /// It may not use the range until it acknowledges the migration again.
    Revoked,
}

impl MemberStanding {
    /// Whether the member uses the range under its lease.
    pub fn is_leased(&self) -> bool {
        matches!(self, MemberStanding::Leased { .. })
    }

    /// Whether the member uses the range under its lease in this incarnation.
    pub fn is_leased_in(&self, expected: u64) -> bool {
        matches!(self, MemberStanding::Leased { incarnation, .. } if *incarnation == expected)
    }
}

/// The phase of a migration. Stored: the variants and their fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members acknowledge the migration.
    Prepare,
    /// The range is copied.
    Copy,
    /// Every block was copied once; blocks written meanwhile are copied again.
    CatchUp,
    /// Writes are held until all members are quiet and the last blocks are copied.
    HandOver {
        /// The freeze, by its log index.
        freeze: Index,
        /// The members that have no writes in flight.
        quiet: BTreeSet<MemberId>,
    },
    /// The target backend is committed. Writes are held until each member knows it.
    Switch {
        /// The log index of the command that committed it.
        epoch: Index,
        /// The members that know it.
        confirmed: BTreeSet<MemberId>,
    },
    /// The target backend serves the range; the source range is not free for reuse yet.
    Release {
        /// The log index of the command that committed the target backend.
        epoch: Index,
    },
    /// The source backend serves the range; the target range is not free for reuse yet.
    RolledBack {
        /// Why, for operators.
        reason: String,
    },
}

impl Phase {
    /// The name of the phase, as operators see it.
    pub fn name(&self) -> &'static str {
        match self {
            Phase::Prepare => "prepare",
            Phase::Copy => "copy",
            Phase::CatchUp => "catch up",
            Phase::HandOver { .. } => "hand over",
            Phase::Switch { .. } => "switch",
            Phase::Release { .. } => "release",
            Phase::RolledBack { .. } => "back",
        }
    }

    /// Whether members need a lease to use the range.
    pub fn needs_lease(&self) -> bool {
        !matches!(self, Phase::Release { .. } | Phase::RolledBack { .. })
    }

    /// Whether the migration can still be rolled back.
    pub fn is_reversible(&self) -> bool {
        matches!(self, Phase::Prepare | Phase::Copy | Phase::CatchUp | Phase::HandOver { .. })
    }

    /// Whether blocks are copied.
    pub fn is_copying(&self) -> bool {
        matches!(self, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. })
    }

    /// Whether writes are held.
    pub fn holds_writes(&self) -> bool {
        matches!(self, Phase::HandOver { .. } | Phase::Switch { .. })
    }
}
