//! The replicated state of all moves: what each front reads from its own copy of the log.
pub use crate::command::{Command, Effect};
pub use crate::phase::{Phase, Standing};
use crate::placement::Placement;
use crate::plan::Bounds;
use crate::planner::Step;
use crate::runs::Runs;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// So many ended moves are remembered for the operator.
pub const PAST: usize = 256;
/// So many steps a plan may have.
pub const STEPS: usize = 4096;
/// So many runs or parts one command may carry.
pub const PARTS: usize = 512;

/// A move.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// The step of the plan.
    pub step: u32,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The old place.
    pub from: BackendId,
    /// The new place.
    pub to: BackendId,
    /// Why it moves.
    pub why: String,
    /// Where it is.
    pub phase: Phase,
    /// The fronts.
    pub fronts: BTreeMap<MemberId, Standing>,
    /// Who copies, and under which number.
    pub mover: Option<(MemberId, Index)>,
    /// Who copied last.
    pub last: Option<MemberId>,
    /// What has to be copied yet, with when it was last written.
    pub todo: Runs,
    /// Where the present copy began: what was last written before is not copied yet.
    pub pass: Index,
    /// How often its hand-over took too long.
    pub thaws: u32,
    /// Who was judged away and has not given its word since; with its number where it copied.
    pub owing: BTreeMap<MemberId, Option<Index>>,
    /// When it came to this phase, by the leader's Unix time.
    pub since_ms: u64,
}

impl Move {
    /// Whether a deposed mover has not given its word that its copies are ended.
    pub fn stray(&self) -> bool {
        self.owing.values().any(Option::is_some)
    }
}

/// The state of all moves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Moves {
    /// Where ranges are.
    pub placement: Placement,
    /// The fronts that are present.
    pub present: BTreeSet<MemberId>,
    /// The newest life of each front that ever was present: words of an older one count for nothing.
    pub lives: BTreeMap<MemberId, u64>,
    /// The name of the plan.
    pub plan: Option<String>,
    /// Its bounds.
    pub bounds: Bounds,
    /// Its steps that are not done.
    pub queue: BTreeMap<u32, Step>,
    /// Its steps that are done.
    pub done: BTreeSet<u32>,
    /// The moves that run, by the command that began them.
    pub active: BTreeMap<Index, Move>,
    /// The newest ended moves: step, and how it ended.
    pub past: VecDeque<(u32, String)>,
    /// The newest judgement about each front.
    pub away: BTreeMap<MemberId, Index>,
    /// The newest command that took a right away from all fronts.
    pub fence: Index,
    /// How far the log is applied.
    pub applied: Index,
    /// Commands that came too late, twice, or were wrong, and changed nothing.
    pub ignored: u64,
}

impl Moves {
    /// No moves.
    pub fn new() -> Moves {
        Moves::default()
    }

    /// The newest judgement about a front.
    pub fn away_at(&self, member: &MemberId) -> Index {
        self.away.get(member).copied().unwrap_or_default()
    }

    /// How far a front must have applied the log to be given a lease.
    pub fn fence(&self, member: &MemberId) -> Index {
        self.fence.max(self.away_at(member))
    }

    /// Under which life a front has a right to some range in motion.
    pub fn holds(&self, member: &MemberId) -> Option<u64> {
        self.active.values().find_map(|m| match m.fronts.get(member) {
            Some(Standing::Uses { life, .. }) => Some(*life),
            _ => None,
        })
    }

    /// The moves that touch these blocks.
    pub fn over<'a>(
        &'a self,
        volume: &'a Volume,
        blocks: &'a BlockRange,
    ) -> impl Iterator<Item = (Index, &'a Move)> + 'a {
        self.active
            .iter()
            .filter(move |(_, m)| m.volume == *volume && m.blocks.overlaps(blocks))
            .map(|(i, m)| (*i, m))
    }

    /// Why a step can't begin yet; nothing where it can.
    pub fn hindered(&self, step: &Step) -> Option<String> {
        if let Some(first) = step.after.iter().find(|id| !self.done.contains(id)) {
            return Some(format!("step {first} has to be done before"));
        }
        if let Some((_, other)) = self.over(&step.volume, &step.blocks).next() {
            return Some(format!("{} of {} are in motion", other.blocks, other.volume));
        }
        if self.active.len() >= self.bounds.moves_at_once as usize {
            return Some(format!("{} moves run, as many as the plan allows", self.active.len()));
        }
        [&step.from, &step.to].into_iter().find_map(|on| {
            let busy = self.active.values().filter(|m| m.from == *on || m.to == *on).count();
            let full = busy >= self.bounds.per_box as usize;
            full.then(|| format!("{busy} moves run at {on}, as many as the plan allows"))
        })
    }
}
