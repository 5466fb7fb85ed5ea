//! What a front's side is told, and what it says.
use super::{Kept, Order, Report, Share};
use cluster_types::{BackendId, Index, Time};
use std::collections::BTreeMap;

/// What comes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The log was applied up to there, or restored: what [`crate::Desk::orders`] says now.
    Orders {
        /// Where the log stands.
        index: Index,
        /// All orders.
        orders: BTreeMap<BackendId, Order>,
    },
    /// The lease was renewed: a span that the host has added to when it asked.
    Lease {
        /// Until when.
        until: Time,
    },
    /// What the module has out at a box.
    Figures {
        /// The box.
        id: BackendId,
        /// Requests without an end.
        out: u32,
        /// When the last was sent there.
        last_send: Option<Time>,
        /// As of when.
        at: Time,
    },
    /// What was to be kept is on the disk; a host without one says so at once.
    Saved {
        /// By its number.
        serial: u64,
    },
    /// The log was founded anew: its numbers begin again. What was drained stays so.
    Refounded,
    /// An operator takes off a drain that the present log knows nothing of.
    Release {
        /// The box.
        id: BackendId,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send nothing new there, within the drain rule. Said twice it does no harm.
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
    /// Tell the log.
    Report(Report),
    /// Write down, so that it holds from the first moment after a restart; then say [`Event::Saved`].
    Keep {
        /// Its number.
        serial: u64,
        /// What.
        kept: Kept,
    },
}
