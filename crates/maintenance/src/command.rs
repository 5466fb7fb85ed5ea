//! What stands in the log, and what applying it brings about.
use crate::facts::{BoxFact, VolumeFact};
use crate::rules::Rules;
use crate::status::Status;
use crate::why::Why;
use cluster_types::{BackendId, Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a front serves, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It serves. A new life says that it was started again, and that what it reported before no longer holds.
    Present {
        /// The start of the process.
        life: u64,
    },
    /// It has left by its own word and sends nothing any more.
    Left,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The operators' rules.
    Rules(Rules),
    /// An operator wishes these boxes out.
    Wish {
        /// By this name it is withdrawn and asked for; repeated with the same content it is told how it stands.
        name: String,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
        /// How long each may be out.
        work_ms: u64,
        /// The Unix time after which nothing of it is begun.
        by_ms: Option<u64>,
        /// All at once, or none.
        together: bool,
    },
    /// Takes a wish back: what waits is dropped, what only drains comes back, what is open stays out until it is put back.
    Withdraw {
        /// The wish.
        name: String,
    },
    /// The leader takes boxes of a wish out. Its position in the log is the grant's number.
    Grant {
        /// The wish.
        name: String,
        /// One box, or all that wait of a wish that goes together.
        boxes: BTreeSet<BackendId>,
    },
    /// A front has drained all boxes of a grant. Only its own word counts.
    Drained {
        /// The grant.
        grant: Index,
        /// The front.
        member: MemberId,
    },
    /// The operator has put a box of a wish back.
    Returned {
        /// The wish.
        name: String,
        /// The box.
        id: BackendId,
    },
    /// The operator has put all of a wish back, and what still waits is dropped.
    Done {
        /// The wish.
        name: String,
    },
    /// The leader gives the fronts their parts of a returning box's cold budget.
    Stage {
        /// The box.
        id: BackendId,
        /// The number of the step that this follows; a late one does not count.
        after: Index,
        /// The stage.
        stage: usize,
        /// Parts per thousand of the cold budget; a front that is not named has none.
        parts: BTreeMap<MemberId, u16>,
    },
    /// A front keeps to its part. Only its own word counts.
    Staged {
        /// The box.
        id: BackendId,
        /// The step.
        number: Index,
        /// The front.
        member: MemberId,
    },
    /// A returning box is warm and counts as in.
    Warm {
        /// The box.
        id: BackendId,
        /// The step that it was in.
        number: Index,
    },
    /// What the leader has collected of the fronts' measures.
    Observe {
        /// All of it was measured by fronts that stood there in the log, or later.
        seen: Index,
        /// Whether, with this, all boxes and volumes are known.
        whole: bool,
        /// Boxes of which something has changed.
        boxes: BTreeMap<BackendId, BoxFact>,
        /// Volumes of which something has changed, or which were measured again; one without boxes is forgotten.
        volumes: BTreeMap<cluster_types::Volume, VolumeFact>,
    },
    /// A front's own word on itself.
    Roster {
        /// The front.
        member: MemberId,
        /// What it says.
        presence: Presence,
    },
    /// An operator answers for a front that is dead and did not leave: it counts as having left.
    Excuse {
        /// The front.
        member: MemberId,
    },
    /// Time has passed.
    Tick,
}

/// What a command brought about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// How a wish stands, to whoever asked by this command.
    Told(Status),
    /// The command changed nothing.
    Refused {
        /// Which command, and of what.
        what: String,
        /// Why.
        why: Why,
    },
    /// Boxes are to be drained by all fronts.
    Drain {
        /// The grant.
        grant: Index,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
    },
    /// All fronts have drained: the operator is told "open it".
    Free {
        /// The grant.
        grant: Index,
        /// The wish.
        name: String,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
    },
    /// A box comes back, by these parts of its cold budget.
    Return {
        /// The box.
        id: BackendId,
        /// The step.
        number: Index,
        /// The stage; none before the first.
        stage: Option<usize>,
    },
    /// A box counts as in.
    In {
        /// The box.
        id: BackendId,
    },
    /// The deadline has passed; these boxes are not taken out.
    Missed {
        /// The wish.
        name: String,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
    },
    /// Boxes have been open for longer than stated. They go on counting as out.
    Overdue {
        /// The grant.
        grant: Index,
        /// The wish.
        name: String,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
    },
    /// A box that waited is no longer listed and is not taken out.
    Gone {
        /// The wish.
        name: String,
        /// The box.
        id: BackendId,
    },
    /// Nothing of a wish is to come any more.
    Ended(Status),
}
