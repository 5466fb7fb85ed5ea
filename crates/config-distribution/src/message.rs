//! What subscribers and relays say to each other. Each goes in a sealed frame of its own.
use crate::names::{Change, Key};
use crate::report::Report;
use crate::scope::Scope;
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// So much is told of why, in characters.
pub(crate) const WHY: usize = 200;

/// A value that a subscriber can't take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The key.
    pub key: Key,
    /// The version that was refused.
    pub version: Index,
    /// Why, in plain words: names the setting at fault.
    pub why: String,
}

impl Refusal {
    /// Whether it is as long as a subscriber's may be.
    pub(crate) fn bounded(&self) -> bool {
        self.key.bounded() && self.why.len() <= 4 * WHY
    }
}

/// From a subscriber to its relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRelay {
    /// Asks for all changes in a scope, from a version of a log on (0: from nothing).
    Subscribe {
        /// Of which log.
        lineage: u64,
        /// Which topics.
        scope: Scope,
        /// Up to where it holds everything.
        from: Index,
    },
    /// Everything up to there was decided on: it is in force, but for what was refused.
    Decided {
        /// Up to where.
        upto: Index,
        /// What was refused and is still the newest of its key; eight at most are told.
        refused: Vec<Refusal>,
    },
    /// A piece of a snapshot has come: the next one may.
    Next,
    /// From relays: where the changes are in force that it handed on.
    Report(Report),
}

/// From a relay to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRelay {
    /// It is subscribed; changes follow.
    Subscribed {
        /// The log.
        lineage: u64,
    },
    /// Not now: there is more to do than the relay is allowed. Ask again later, here or elsewhere.
    Later,
    /// All changes since a version, up to another: to be put in force together.
    Changes {
        /// Since when: what the subscriber must hold.
        from: Index,
        /// Up to where all is held with them.
        upto: Index,
        /// What has changed.
        changes: Vec<Change>,
    },
    /// A piece of all that the scope holds. What has changed since `base` follows the last one.
    Piece {
        /// The version as of the first piece.
        base: Index,
        /// Whether it is the first: what came of an earlier snapshot counts for nothing.
        first: bool,
        /// Whether it is the last.
        last: bool,
        /// What is held.
        entries: Vec<Change>,
    },
    /// Nothing more has changed in the scope up to there.
    Alive {
        /// Up to where.
        upto: Index,
        /// Now and then, the sum over all that the scope holds.
        sum: Option<u64>,
        /// For how long the relay itself has heard nothing of the log; none while it hears of it.
        alone: Option<Duration>,
    },
    /// To relays: where changes are in force, as all others told.
    Fleet(Vec<Report>),
}
