//! Commands of the replicated log.
use crate::plan::{Bounds, Step};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};

/// A command of the log. A migration is identified by the log index of the command that began it.
///
/// Stored and sent: the variants and their fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member has started and has to acknowledge migrations. It is given no lease before.
    Join {
        /// Its incarnation, which grows with each start.
        incarnation: u64,
    },
    /// A member left by its own report, with nothing in flight.
    Leave {
        /// Its incarnation.
        incarnation: u64,
    },
    /// Takes a volume under placement, where it is now. Only once for a volume.
    Adopt {
        /// The volume.
        volume: Volume,
        /// Where its blocks are.
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
    /// A member knows the migration and from now on uses the range under its lease only.
    Acknowledge {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// The newest [`Command::Revoke`] of the member that it has applied.
        last_revocation: Index,
    },
    /// A member is to copy; the log index of the command identifies the assignment.
    AssignMigrator {
        /// The migration.
        migration: Index,
        /// The member.
        migrator: MemberId,
    },
    /// Blocks that a member wrote, or may have written, behind the copy.
    ReportWrites {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// Orders the member's reports.
        report: u64,
        /// The blocks.
        blocks: Vec<BlockRange>,
    },
    /// Blocks that are copied, each with how far the migrator had applied the log before it read them.
    ReportCopied {
        /// The migration.
        migration: Index,
        /// The assignment.
        assignment: Index,
        /// The chunks.
        chunks: Vec<(BlockRange, Index)>,
    },
    /// Writes wait from now on.
    Freeze {
        /// The migration.
        migration: Index,
    },
    /// Nothing of a member is in flight at the old place. Includes its last writes.
    ReportQuiet {
        /// The migration.
        migration: Index,
        /// The freeze, by its log index.
        freeze: Index,
        /// The member's incarnation.
        incarnation: u64,
        /// Orders the member's reports.
        report: u64,
        /// The blocks that it wrote.
        blocks: Vec<BlockRange>,
    },
    /// The hand-over took too long: writes go on at the old place.
    Unfreeze {
        /// The migration.
        migration: Index,
        /// The freeze, by its log index.
        freeze: Index,
    },
    /// A member knows the new place and has nothing in flight at the old one.
    ConfirmSwitch {
        /// The migration.
        migration: Index,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// The leader finds that a member's lease has expired and its commands have ended.
    Revoke {
        /// The member.
        member: MemberId,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// An operator confirms that a member does not run: nothing waits for it.
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
    /// An operator rolls a migration back, and its step is dropped.
    Cancel {
        /// The migration.
        migration: Index,
    },
    /// The migrator has no copy of an assignment in flight, and will not have any.
    ReportStopped {
        /// The migration.
        migration: Index,
        /// The assignment.
        assignment: Index,
    },
    /// The longest command time has passed: the place that was left is free.
    Release {
        /// The migration.
        migration: Index,
    },
}
