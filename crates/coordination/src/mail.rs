//! Letters between the hosts and the front. Neither waits for the other: mailboxes are bounded, and what finds one full is
//! counted and said again by its next turn.
use cluster_types::{BackendId, Index, MemberId, Time, Volume, Zone};
use maintenance::Share;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a front knows of a box.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The hall in which it stands.
    pub hall: Zone,
    /// Whether the list has it, draining or not.
    pub listed: bool,
    /// Whether this front finds it dead: it failed, and has answered nothing since.
    pub died: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Attempts out there.
    pub out: u32,
    /// Microseconds since the last attempt was handed to it; none where none was.
    pub last_send: Option<u64>,
    /// Units that it served for this front within the last seconds.
    pub units: u64,
    /// Whether an attempt there has failed since the last report.
    pub failed: bool,
}

/// What a front measured, whole each time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measures {
    /// Whether the list of boxes is known.
    pub whole: bool,
    /// All boxes.
    pub boxes: BTreeMap<BackendId, Seen>,
    /// The largest reservation of a plan, in thousandths of a unit a second.
    pub reserved: u64,
    /// What each volume uses here, and for each box what it could serve of that: the box that did, and any other that holds
    /// the same shard. In the same unit.
    pub volumes: BTreeMap<Volume, (u64, BTreeMap<BackendId, u64>)>,
}

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// How everything stands.
    Status,
    /// A wish for boxes to be taken out.
    Wish {
        /// Its name.
        name: String,
        /// The boxes.
        boxes: BTreeSet<BackendId>,
        /// For how long each may be out, in milliseconds.
        work_ms: u64,
        /// The Unix time in milliseconds after which nothing of it begins.
        by_ms: Option<u64>,
        /// All at once, or none.
        together: bool,
    },
    /// How a wish stands.
    Ask {
        /// Its name.
        name: String,
    },
    /// Takes a wish back.
    Withdraw {
        /// Its name.
        name: String,
    },
    /// A box of a wish is in its place again.
    Returned {
        /// The wish.
        name: String,
        /// The box.
        id: BackendId,
    },
    /// All boxes of a wish are in their places again.
    Done {
        /// The wish.
        name: String,
    },
    /// Answers for a front that is dead and did not leave.
    Excuse {
        /// The front.
        member: MemberId,
    },
    /// Changes of configuration; the answer is their version.
    Change(config_distribution::WriteBatch),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Yes, with what is to be said.
    Yes(String),
    /// No such thing.
    Unknown(String),
    /// It can't be, in plain words.
    No(String),
    /// It was not settled in time: it may come yet. Asking again under the same name does no harm.
    Late(String),
}

/// What the front tells the hosts.
pub enum ToAccord {
    /// What it measured.
    Measured(Measures),
    /// An operator's call, and where its answer goes.
    Call(Call, async_channel::Sender<Told>),
    /// The front ends: SIGTERM.
    Stopping,
}

/// What the hosts tell the front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToFront {
    /// Send nothing new to that box.
    Drain {
        /// The box.
        id: BackendId,
        /// The grant or step; none for what only an operator ends.
        grant: Option<Index>,
    },
    /// Send there again, so far.
    Undrain {
        /// The box.
        id: BackendId,
        /// How far.
        share: Share,
    },
}

/// A point in time as a span before now, which can be sent.
pub fn ago(now: Time, micros: u64) -> Time {
    Time(now.0.saturating_sub(micros))
}
