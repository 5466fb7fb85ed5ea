//! A migration: one range that moves from one backend to another.
use crate::block_set::BlockSet;
use crate::phase::{MemberStanding, Phase};
use crate::plan::Step;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which range moves where, and why. Stored and shown to operators: the fields keep their order and their names there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeMove {
    /// The step of the plan; 0 if the plan was replaced by one without this step.
    pub step: u32,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The backend that has them.
    pub from: BackendId,
    /// The backend that gets them.
    pub to: BackendId,
    /// Why, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

impl RangeMove {
    /// Whether a step describes this move.
    pub fn matches_step(&self, step: &Step) -> bool {
        step.volume == self.volume
            && step.blocks == self.blocks
            && step.from == self.from
            && step.to == self.to
    }
}

impl From<&Step> for RangeMove {
    fn from(step: &Step) -> RangeMove {
        RangeMove {
            step: step.id,
            volume: step.volume.clone(),
            blocks: step.blocks,
            from: step.from.clone(),
            to: step.to.clone(),
            reason: step.reason.clone(),
        }
    }
}

/// A migration. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// The range that moves, from which backend to which.
    pub range: RangeMove,
    /// Its phase.
    pub phase: Phase,
    /// The members and their standing.
    pub members: BTreeMap<MemberId, MemberStanding>,
    /// The member that copies, and the log index of its assignment.
    pub migrator: Option<(MemberId, Index)>,
    /// The member that copied last.
    pub last_migrator: Option<MemberId>,
    /// The blocks left to copy, each with the log index at which its last write was reported.
    pub uncopied: BlockSet,
    /// The log index at which the present copy began. Blocks of `uncopied` up to this index have not been copied since.
    pub copy_start: Index,
    /// How many of its hand-overs have timed out.
    pub unfreezes: u32,
    /// The members that were revoked and have not acknowledged since. For a deposed migrator, with its assignment.
    pub pending_acknowledgements: BTreeMap<MemberId, Option<Index>>,
    /// When it entered its phase, by the leader's Unix time in milliseconds.
    pub phase_start_ms: u64,
}

impl Migration {
    /// Whether some deposed migrator has not confirmed yet that its copies have ended.
    pub fn has_deposed_migrator(&self) -> bool {
        self.pending_acknowledgements.values().any(Option::is_some)
    }

    /// Whether a member copies under this assignment.
    pub fn is_migrator(&self, member: &MemberId, assignment: Index) -> bool {
        self.migrator.as_ref().is_some_and(|(migrator, index)| migrator == member && *index == assignment)
    }

    /// Whether some member has not acknowledged the migration.
    pub(crate) fn has_unacknowledged_member(&self) -> bool {
        self.members.values().any(|standing| *standing == MemberStanding::Unacknowledged)
    }

    /// Whether `is_done` holds for all members that use the range under a lease.
    pub(crate) fn all_leased_members(&self, is_done: impl Fn(&MemberId) -> bool) -> bool {
        self.members.iter().all(|(member, standing)| !standing.is_leased() || is_done(member))
    }

    /// Marks the whole range as not copied.
    pub(crate) fn restart_copy(&mut self, index: Index) {
        self.uncopied = BlockSet::of(self.range.blocks, index);
        self.copy_start = index;
    }
}
