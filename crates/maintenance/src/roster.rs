//! The standing of members, which decides whose drain reports a grant waits for.
use serde::{Deserialize, Serialize};

/// How a member stands. Silence does not change it: a member that has not left may still send to backends.
///
/// Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStanding {
    /// It serves.
    Present {
        /// The start of its process.
        incarnation: u64,
    },
    /// It left by its own report.
    Left {
        /// The start of the process that left.
        incarnation: u64,
    },
    /// An operator declared it dead.
    DeclaredDead {
        /// The start of its last known process.
        incarnation: u64,
    },
}

impl MemberStanding {
    /// The member's last known incarnation.
    pub fn incarnation(&self) -> u64 {
        match self {
            MemberStanding::Present { incarnation }
            | MemberStanding::Left { incarnation }
            | MemberStanding::DeclaredDead { incarnation } => *incarnation,
        }
    }

    /// Whether the member serves.
    pub fn is_present(&self) -> bool {
        matches!(self, MemberStanding::Present { .. })
    }
}
