//! What goes in and comes out.
use cluster_types::{BackendId, MemberId, Zone};
use message_auth::Keys;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A configured front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub member: MemberId,
    /// The hall it stands in.
    pub hall: Zone,
    /// Where it takes datagrams.
    pub at: SocketAddr,
}

/// How a member is held; the later wins at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, and may still disprove that.
    Suspect,
    /// It did not disprove it in time, or was never heard.
    Dead,
    /// It left by its own word.
    Left,
}

impl State {
    /// Whether it is to be reckoned with.
    pub fn live(self) -> bool {
        self <= State::Suspect
    }
}

/// What evidence is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A box.
    Box(BackendId),
    /// A hall as a whole.
    Zone(Zone),
}

/// The form of the status text that operators read: it stays as it is, whatever the types are called.
impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Box(name) => write!(f, "Box(BoxId({:?}))", name.0),
            Subject::Zone(name) => write!(f, "Hall(Hall({:?}))", name.0),
        }
    }
}

/// What is claimed of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// It does not answer.
    Silent,
    /// It answers late.
    Slow,
    /// It answers with errors.
    Failing,
    /// Nothing is wrong: takes back what the same source claimed before.
    Well,
}

/// What this front saw itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Of what.
    pub subject: Subject,
    /// What.
    pub kind: Kind,
    /// How sure, from 0 to 1.
    pub weight: f32,
    /// For how long it counts.
    pub lasts: Duration,
}

/// What is told to the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A datagram came from that address.
    Datagram {
        /// Its source.
        from: SocketAddr,
        /// The whole of it.
        bytes: Vec<u8>,
    },
    /// This front is about to end, and tells so.
    Leave,
    /// This front saw something.
    Observed(Observation),
    /// The configured fronts are these from now on.
    Roster(Vec<Seed>),
    /// Sign and open under these keys from now on.
    Keys(Keys),
}

/// What the machine wants done, and its news.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The whole of it.
        bytes: Vec<u8>,
    },
    /// A member is held otherwise, or is back under a new life.
    Changed {
        /// Which.
        member: MemberId,
        /// How it is held now.
        state: State,
        /// Under which incarnation.
        incarnation: u64,
    },
    /// What is claimed of that subject changed.
    Evidence(Subject),
}

/// A member as it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub member: MemberId,
    /// Its hall.
    pub hall: Zone,
    /// Where it takes datagrams.
    pub at: SocketAddr,
    /// The life it was last heard of in; 0: never heard.
    pub life: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// How it is held.
    pub state: State,
}

/// What the live members claim of a subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The weights of all claims over the number of live members: 0 to 1.
    pub doubt: f32,
    /// How many live members claim something bad.
    pub sources: usize,
    /// The age of the newest claim.
    pub newest: Option<Duration>,
    /// How many claim which kind.
    pub kinds: BTreeMap<Kind, usize>,
}

/// A box that should get no more than a trickle.
#[derive(Clone, Debug, PartialEq)]
pub struct Shun {
    /// Which.
    pub which: BackendId,
    /// How much it is doubted.
    pub doubt: f32,
    /// The share of its usual work that it should still get, to disprove the doubt.
    pub trickle: f32,
}

/// What was done and refused so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Probes begun.
    pub probes: u64,
    /// Probes without an answer.
    pub failed: u64,
    /// Suspicions of this member that it disproved.
    pub refuted: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes, with the IP and UDP heads.
    pub bytes: u64,
    /// Messages put off, since the bound of bytes was reached.
    pub put_off: u64,
    /// Messages dropped, since too many were put off or for too long.
    pub dropped: u64,
    /// Messages that had no room for all in which a view differed.
    pub filled: u64,
    /// Signed messages that made no sense.
    pub malformed: u64,
    /// Messages of no use but for an answer, since they may be older than this life.
    pub unsure: u64,
    /// Members and messages from addresses that are not allowed.
    pub strangers: u64,
    /// Members beyond the bound of the table.
    pub crowded: u64,
    /// Claims and observations refused: out of their bounds, of an unknown source, or one too many.
    pub claims_refused: u64,
    /// Claims in this member's name that it never made, taken back.
    pub claims_disowned: u64,
    /// Times at which this process was found to have stood still.
    pub stood_still: u64,
}

/// The form of the status text that operators read: it stays as it is, whatever the type is called.
impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
