//! Commands of the replicated log.
use crate::plan::{Bounds, Step};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};

/// A command of the log. A migration is identified by the log index of the command that began it.
///
/// Stored and sent: the variants and their fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member has started and must acknowledge migrations. It gets no lease before this command is applied.
    Join {
        /// Its incarnation, which increases with each start.
        incarnation: u64,
    },
    /// A member has left in an orderly way, with nothing in flight.
    Leave {
        /// Its incarnation.
        incarnation: u64,
    },
    /// Puts a volume under placement at its present location. Accepted only once for each volume.
    Adopt {
        /// The volume.
        volume: Volume,
        /// The backend of each of its ranges.
        ranges: Vec<(BlockRange, BackendId)>,
    },
    /// Replaces the plan and its ordered steps.
    ReplacePlan {
        /// Its name.
        plan: String,
        /// Its steps.
        steps: Vec<Step>,
        /// Its bounds.
        bounds: Bounds,
    },
    /// Begins the migration of a step.
    Begin {
        /// The step.
        step: u32,
    },
    /// A member knows the migration and from now on uses the range only under its lease.
    Acknowledge {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// The newest [`Command::Revoke`] of the member that it has applied.
        last_revocation: Index,
    },
    /// Assigns a member to copy the range. The log index of this command identifies the assignment.
    AssignMigrator {
        /// The migration.
        migration: Index,
        /// The member.
        migrator: MemberId,
    },
    /// Blocks that a member wrote, or may have written, while the range is being copied.
    ReportWrites {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// The sequence number of the member's report.
        report: u64,
        /// The blocks.
        blocks: Vec<BlockRange>,
    },
    /// Copied chunks, each with the last log index that the migrator had applied before it read the chunk.
    ReportCopied {
        /// The migration.
        migration: Index,
        /// The assignment.
        assignment: Index,
        /// The chunks.
        chunks: Vec<(BlockRange, Index)>,
    },
    /// Holds writes from now on.
    Freeze {
        /// The migration.
        migration: Index,
    },
    /// A member has no writes in flight at the source backend. Includes the last blocks that it wrote.
    ReportQuiet {
        /// The migration.
        migration: Index,
        /// The freeze, by its log index.
        freeze: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// The sequence number of the member's report.
        report: u64,
        /// The blocks that it wrote.
        blocks: Vec<BlockRange>,
    },
    /// The hand-over timed out: writes resume at the source backend.
    Unfreeze {
        /// The migration.
        migration: Index,
        /// The freeze, by its log index.
        freeze: Index,
    },
    /// A member knows that the target backend is committed and has nothing in flight at the source backend.
    ConfirmSwitch {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// The leader has found that a member's lease has expired and that none of its commands can still be in flight.
    Revoke {
        /// The member.
        member: MemberId,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// An operator confirms that a member is not running: migrations stop waiting for it.
    DeclareDead {
        /// The member.
        member: MemberId,
    },
    /// Rolls back before the hand-over is committed. The step stays in the plan.
    RollBack {
        /// The migration.
        migration: Index,
        /// Why, for operators.
        reason: String,
    },
    /// Rolls a migration back by an operator's request and drops its step.
    Cancel {
        /// The migration.
        migration: Index,
    },
    /// The migrator has no copy of an assignment in flight and will send no more.
    ReportStopped {
        /// The migration.
        migration: Index,
        /// The assignment.
        assignment: Index,
    },
    /// The maximum command time has passed: frees the range on the backend that no longer owns it.
    Release {
        /// The migration.
        migration: Index,
    },
}
