//! What a gate answers, and what it is told.
use cluster_types::{BackendId, BlockRange, Index, Volume};
use std::collections::BTreeSet;

/// Which volumes may be under placement, for a front that has not caught up since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Controlled {
    /// Any.
    All,
    /// Only these.
    Only(BTreeSet<Volume>),
}

/// A part of a command, for one box.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// The blocks.
    pub blocks: BlockRange,
    /// Their box.
    pub on: BackendId,
    /// The command of the log that put them there.
    pub epoch: Index,
}

/// Why a command is refused. It was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// The range is in motion and the front's lease is out.
    Lease,
    /// The front has not caught up with the log since its start.
    Started,
    /// Too much is out, or it touches too many ranges.
    Full,
}

/// Whether a command may go.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum May {
    /// All parts may go now, and their ends belong to the ticket. Without a part the volume is not under
    /// placement. Not `sure`: what is read may be older than it should, since the front has not caught up.
    Go {
        /// The chunks.
        parts: Vec<Part>,
        /// For its end.
        ticket: u64,
        /// Whether the front has caught up.
        sure: bool,
    },
    /// Ask again soon, as long as the client waits.
    Wait,
    /// It must not go.
    Refuse(Why),
}

/// How a command ended at the boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// All parts ran.
    Ran,
    /// No part ran, nor will.
    NotRun,
    /// Some part may have run, or may yet.
    Unknown,
}

/// What may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kept {
    /// What the boxes said.
    Keep,
    /// Failed: it may have run, and is never tried on another side.
    MayHaveRun,
}
