//! The commands of the log, and what they do.
use crate::plan::Bounds;
use crate::planner::Step;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A front has started and has to be asked. It is given no lease before.
    Present {
        /// Its life, which grows with each start.
        life: u64,
    },
    /// A front left by its own word, with nothing out.
    Left {
        /// Its life.
        life: u64,
    },
    /// Takes a volume under placement, where it is now. Only once a volume.
    Adopt {
        /// The volume.
        volume: Volume,
        /// Where its blocks are.
        ranges: Vec<(BlockRange, BackendId)>,
    },
    /// A plan in its order. It replaces the one before.
    Replace {
        /// Its name.
        plan: String,
        /// Its steps.
        steps: Vec<Step>,
        /// Its bounds.
        bounds: Bounds,
    },
    /// Begins the move of a step.
    Begin {
        /// The step.
        step: u32,
    },
    /// The front knows the move and from now on uses the range under its lease only. `after`: the newest judgement about it that it
    /// has applied.
    Ready {
        /// The move.
        id: Index,
        /// The front's life.
        life: u64,
        /// The newest judgement about it that it has applied.
        after: Index,
    },
    /// A front is to copy; the command's position is its number.
    Assign {
        /// The move.
        id: Index,
        /// The front.
        mover: MemberId,
    },
    /// Blocks that the front wrote, or may have written, behind the copy; its number orders its reports.
    Dirty {
        /// The move.
        id: Index,
        /// The front's life.
        life: u64,
        /// Which report of it; or which mover.
        number: u64,
        /// The blocks.
        marks: Vec<BlockRange>,
    },
    /// Blocks whose copy has ended, each with how far the mover had applied the log before it read them.
    Copied {
        /// The move.
        id: Index,
        /// Which report of it; or which mover.
        number: Index,
        /// The chunks.
        parts: Vec<(BlockRange, Index)>,
    },
    /// Writes wait from now on.
    Freeze {
        /// The move.
        id: Index,
    },
    /// Nothing of the front is out there; its last marks.
    Quiet {
        /// The move.
        id: Index,
        /// The freeze.
        freeze: Index,
        /// The front's life.
        life: u64,
        /// Which report of it; or which mover.
        number: u64,
        /// The blocks.
        marks: Vec<BlockRange>,
    },
    /// The hand-over took too long: writes go on at the old place.
    Thaw {
        /// The move.
        id: Index,
        /// The freeze.
        freeze: Index,
    },
    /// The front knows the new place and has nothing out at the old one.
    Moved {
        /// The move.
        id: Index,
        /// The front's life.
        life: u64,
    },
    /// The leader's judgement that a front's lease is out and its commands are ended.
    Away {
        /// The front.
        member: MemberId,
        /// The front's life.
        life: u64,
    },
    /// An operator's word that a front does not run: nothing waits for it.
    Excuse {
        /// The front.
        member: MemberId,
    },
    /// Goes back, before hand-over is committed. The step stays wanted.
    Back {
        /// The move.
        id: Index,
        /// Why, in plain words.
        why: String,
    },
    /// An operator's word: goes back, and the step is dropped.
    Cancel {
        /// The move.
        id: Index,
    },
    /// The mover's word that no copy of that number is out, nor will be.
    Stopped {
        /// The move.
        id: Index,
        /// Which report of it; or which mover.
        number: Index,
    },
    /// The longest deadline has passed: the place that was left is free.
    Released {
        /// The move.
        id: Index,
    },
}

/// What an applied command has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A move is in another state.
    Changed {
        /// The move.
        id: Index,
        /// Its state.
        phase: &'static str,
    },
    /// The placement has changed.
    Placed {
        /// The volume.
        volume: Volume,
        /// The blocks.
        blocks: BlockRange,
        /// The box.
        on: BackendId,
        /// The command that did it.
        epoch: Index,
    },
    /// A place is free for others.
    Freed {
        /// The box.
        on: BackendId,
        /// The volume.
        volume: Volume,
        /// The blocks.
        blocks: BlockRange,
    },
    /// A step can't begin any more, and why.
    Dropped {
        /// The step.
        step: u32,
        /// Why, in plain words.
        why: String,
    },
    /// The copy begins anew, since what that front wrote is not known.
    Anew {
        /// The move.
        id: Index,
        /// The front.
        member: MemberId,
    },
}
