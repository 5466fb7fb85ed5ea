//! The status of members, which decides whose drain reports a grant waits for.
use serde::{Deserialize, Serialize};

/// The status of a member. It does not change when a member is unreachable, since a member that has not left may still
/// send requests to backends.
///
/// Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member is running, by its own report.
    Present {
        /// The incarnation that is running.
        incarnation: u64,
    },
    /// The member has left, by its own report.
    Left {
        /// The incarnation that left.
        incarnation: u64,
    },
    /// An operator has declared the member dead.
    DeclaredDead {
        /// The member's last known incarnation.
        incarnation: u64,
    },
}

impl MemberStatus {
    /// The member's last known incarnation.
    pub fn incarnation(&self) -> u64 {
        match self {
            MemberStatus::Present { incarnation }
            | MemberStatus::Left { incarnation }
            | MemberStatus::DeclaredDead { incarnation } => *incarnation,
        }
    }

    /// Whether the member is running.
    pub fn is_present(&self) -> bool {
        matches!(self, MemberStatus::Present { .. })
    }
}
