//! What the replicated log comes to: every front applies the same entries in the same order and has the same state. No clock
//! and no chance in here.
use fleet::{Index, MemberId};
use maintenance::{Command, Desk, Effect, Rules};
use serde::{Deserialize, Serialize};

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Boxes taken out for work.
    Maintenance(Command),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The leader's Unix time in milliseconds.
    pub at_ms: u64,
    /// Whose word it is.
    pub by: MemberId,
    /// Its number for it; 0 for what nobody waits for.
    pub ticket: u64,
    /// What it says.
    pub what: What,
}

/// What applying an entry brought about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whose word it was, and its number for it.
    pub by: Option<(MemberId, u64)>,
    /// What follows.
    pub effects: Vec<Effect>,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The last entry that was applied.
    pub applied: Index,
    /// Boxes taken out for work.
    pub desk: Desk,
    /// Entries that could not be read.
    pub unread: u64,
}

impl Ledger {
    /// Before the first entry.
    pub fn new() -> Ledger {
        Ledger { desk: Desk::new(Rules::default()), ..Ledger::default() }
    }

    /// Applies an entry. One that can't be read changes nothing, the same everywhere, and is counted.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Applied {
        self.applied = index;
        let Ok(entry) = postcard::from_bytes::<Entry>(data) else {
            self.unread += 1;
            return Applied::default();
        };
        let effects = match &entry.what {
            What::Maintenance(command) => self.desk.apply(index, entry.at_ms, &entry.by, command),
        };
        Applied { by: Some((entry.by, entry.ticket)), effects }
    }

    /// All of it, as bytes.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// From such bytes; none where they are no such thing.
    pub fn restore(bytes: &[u8]) -> Option<Ledger> {
        postcard::from_bytes(bytes).ok()
    }
}
