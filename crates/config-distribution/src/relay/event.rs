//! What comes in at a relay, and what is to be done.
use crate::message::{FromRelay, ToRelay};
use crate::names::Change;
use crate::report::Report;
use std::sync::Arc;

/// What comes in.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// Time has passed.
    Tick,
    /// Somebody has connected.
    Joined {
        /// The connection's number, never used again.
        link: u64,
        /// By its sealed name.
        name: Arc<str>,
    },
    /// A connection has ended.
    Left {
        /// Which.
        link: u64,
    },
    /// A message has come.
    Message {
        /// On which connection.
        link: u64,
        /// What it says.
        message: ToRelay,
    },
    /// The catalogue has changed, by what the log or the relay above told.
    Applied(Vec<Change>),
    /// Reports of other control machines.
    Reports(Vec<Report>),
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// It was told to come later.
    Later,
    /// It did not answer in time.
    Slow,
    /// What it said makes no sense.
    Bad,
    /// Another connection of the same name has come.
    Replaced,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Send a message.
    Send {
        /// On which connection.
        link: u64,
        /// What.
        message: FromRelay,
    },
    /// Close a connection, once what was sent is out.
    Close {
        /// Which.
        link: u64,
        /// Why.
        why: Cut,
    },
    /// Tell the other control machines: reports that are new.
    Reports(Vec<Report>),
}

/// What was done and turned down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayFigures {
    /// Subscriptions that were admitted.
    pub admitted: u64,
    /// Those told to come later.
    pub later: u64,
    /// Messages of changes.
    pub changes: u64,
    /// Pieces of snapshots.
    pub pieces: u64,
    /// Subscribers cut off because they were slow.
    pub slow: u64,
    /// Subscribers that were behind too far and were given a snapshot.
    pub behind: u64,
    /// Messages that made no sense: they changed nothing.
    pub bad: u64,
}
