//! What comes in at a subscriber, and what is to be done.
use crate::message::{FromRelay, ToRelay};
use crate::names::{Change, Key};
use backoff::Failure;

/// What comes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A connection that was asked for is up.
    Up {
        /// The call.
        call: u64,
    },
    /// A call has failed, or its connection has ended.
    Down {
        /// The call.
        call: u64,
        /// What that tells.
        failure: Failure,
    },
    /// A message has come on a connection.
    Message {
        /// The call.
        call: u64,
        /// What it says.
        message: FromRelay,
    },
    /// What was to be decided is in force whole, or nothing of it is: then these keys are at fault, and why.
    Decided {
        /// Empty where it is in force.
        refused: Vec<(Key, String)>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a relay, by its place in the order of preference.
    Connect {
        /// The number of this call.
        call: u64,
        /// Which relay.
        relay: usize,
    },
    /// Close the connection of a call, or give it up.
    Close {
        /// The call.
        call: u64,
    },
    /// Send a message.
    Send {
        /// On which connection.
        call: u64,
        /// What.
        message: ToRelay,
    },
    /// Put these in force together or none of them, and tell [`Event::Decided`]. Nothing else is to be decided until then.
    Decide {
        /// Whether they are all that there is: what they leave out is withdrawn.
        whole: bool,
        /// Newer than what is held. A value of none is withdrawn.
        changes: Vec<Change>,
    },
    /// Write this to the disk in place of what was kept; the last one wins.
    Keep(Vec<u8>),
}

/// What was done and turned down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Changes put in force.
    pub taken: u64,
    /// Changes refused by the front.
    pub refused: u64,
    /// Snapshots put in force.
    pub snapshots: u64,
    /// Digests that found something missed.
    pub missed: u64,
    /// Messages that were malformed, out of turn, or older than what is held: they changed nothing.
    pub bad: u64,
    /// Relays that follow another log.
    pub foreign: u64,
    /// Calls for a relay.
    pub calls: u64,
}
