//! A wish of an operator, and what has become of its boxes.
use cluster_types::{BackendId, Index};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What has become of a box of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It waits to be taken out.
    Waiting,
    /// It is out under that grant.
    Out(Index),
    /// It was out, and the operator has put it back.
    Back,
    /// It was not taken out by the deadline, and will not be.
    Missed,
    /// The wish was withdrawn before it was taken out.
    Withdrawn,
    /// Discovery no longer lists it; it was not taken out.
    Gone,
}

impl Fate {
    /// Whether the wish still has to do with it.
    pub fn open(&self) -> bool {
        matches!(self, Fate::Waiting | Fate::Out(_))
    }
}

/// A wish: "these boxes, for this long, by then".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wish {
    /// Where it stands in the log: the lower, the longer it has waited.
    pub number: Index,
    /// Its boxes, and what has become of them.
    pub boxes: BTreeMap<BackendId, Fate>,
    /// How long a box may be out, from when the operator is told to open it.
    pub work_ms: u64,
    /// The Unix time after which nothing of it is begun any more.
    pub by_ms: Option<u64>,
    /// Whether its boxes only go out all at once.
    pub together: bool,
}

impl Wish {
    /// Whether it asks for the same. Guards a name against standing for two wishes.
    pub(crate) fn same(&self, other: &Wish) -> bool {
        self.boxes.keys().eq(other.boxes.keys())
            && (self.work_ms, self.by_ms, self.together) == (other.work_ms, other.by_ms, other.together)
    }

    /// Whether anything of it is still to come.
    pub fn open(&self) -> bool {
        self.boxes.values().any(Fate::open)
    }

    /// Whether a box of it still waits.
    pub fn waits(&self) -> bool {
        self.boxes.values().any(|f| *f == Fate::Waiting)
    }

    /// Boxes that share this fate.
    pub(crate) fn with(&self, fate: impl Fn(&Fate) -> bool) -> BTreeSet<BackendId> {
        self.boxes.iter().filter(|(_, f)| fate(f)).map(|(b, _)| b.clone()).collect()
    }

    /// What may go out in one step: each waiting box by itself, or all at once.
    pub(crate) fn steps(&self) -> Vec<BTreeSet<BackendId>> {
        let waiting = self.with(|f| *f == Fate::Waiting);
        if self.together {
            return if waiting.is_empty() { Vec::new() } else { vec![waiting] };
        }
        waiting.into_iter().map(|b| BTreeSet::from([b])).collect()
    }

    /// Gives all that wait another fate; tells which.
    pub(crate) fn end_waiting(&mut self, fate: Fate) -> BTreeSet<BackendId> {
        let waiting = self.with(|f| *f == Fate::Waiting);
        waiting.iter().for_each(|b| {
            self.boxes.insert(b.clone(), fate);
        });
        waiting
    }
}
