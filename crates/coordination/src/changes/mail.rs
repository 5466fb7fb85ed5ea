//! Letters between the host, the log's thread and the front.
use async_channel::{Receiver, Sender};
use cluster_types::{Index, MemberId};
use config_distribution::{Catalogue, Change, Key, Rejection, Report, RolloutStatus, WriteBatch};
use message_auth::Keys;
use std::sync::Arc;
use std::time::Duration;

/// Letters that may wait for the host.
const LETTERS: usize = 1024;

/// What the front is to put in force: all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decide {
    /// Whether this is all that there is: what it leaves out is withdrawn.
    pub whole: bool,
    /// What changes. A value of none is withdrawn.
    pub changes: Vec<Change>,
}

/// What operators ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Where a version is not in force yet.
    Where(Index),
    /// How this machine stands.
    State,
}

/// How a machine stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// What it is: `voter`, `relay` or `front`.
    pub role: &'static str,
    /// Which log; 0 where none was heard of yet.
    pub lineage: u64,
    /// Up to where everything was decided on.
    pub upto: Index,
    /// Since when nothing was heard from a relay; none for a voter.
    pub heard: Option<Duration>,
    /// Which relay is followed now.
    pub follows: Option<MemberId>,
    /// What was refused and is still the newest of its key.
    pub refused: Vec<Rejection>,
    /// What was done and turned down.
    pub counts: Vec<(&'static str, u64)>,
}

/// An answer to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Where a version is not in force yet.
    Where(RolloutStatus),
    /// This machine serves nobody: these do, as far as it knows.
    Elsewhere(Vec<String>),
    /// How it stands.
    State(State),
}

/// A letter to the host.
pub(crate) enum Letter {
    /// All that the log comes to.
    Catalogue(Box<Catalogue>),
    /// An entry of the log.
    Ordered(Index, Arc<WriteBatch>),
    /// Reports of other control machines.
    Reports(Vec<Report>),
    /// What the front could not put in force; empty where it did.
    Decided(Vec<(Key, String)>),
    /// An operator's question.
    Ask(Query, Sender<Told>),
    /// Other keys.
    Rekey(Keys),
}

/// Both ends of the host's mailbox, made before any of its users.
pub struct Mailbox {
    pub(crate) to: Sender<Letter>,
    pub(crate) from: Receiver<Letter>,
}

impl Mailbox {
    /// An empty one.
    pub fn new() -> Mailbox {
        let (to, from) = async_channel::bounded(LETTERS);
        Mailbox { to, from }
    }

    /// The same one for the log.
    pub fn for_the_log(&self) -> Mailbox {
        Mailbox { to: self.to.clone(), from: self.from.clone() }
    }
}

impl Default for Mailbox {
    fn default() -> Mailbox {
        Mailbox::new()
    }
}

/// The front's end of the host's mailbox.
#[derive(Clone)]
pub struct Handle {
    pub(crate) to: Sender<Letter>,
    pub(crate) control: bool,
}

impl Handle {
    /// Whether this machine serves others.
    pub fn control(&self) -> bool {
        self.control
    }

    /// Tells what could not be put in force, and why; empty where all of it is.
    pub async fn decided(&self, refused: Vec<(Key, String)>) {
        let _ = self.to.send(Letter::Decided(refused)).await;
    }

    /// Asks; false where there is no room.
    pub fn ask(&self, query: Query, to: Sender<Told>) -> bool {
        self.to.try_send(Letter::Ask(query, to)).is_ok()
    }

    /// Signs with the first of these keys from now on, and opens under either.
    pub fn rekey(&self, keys: ([u8; 32], Option<[u8; 32]>)) {
        let _ = self.to.try_send(Letter::Rekey(Keys::new(keys.0, keys.1)));
    }
}
