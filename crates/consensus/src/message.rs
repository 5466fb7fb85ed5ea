//! What members say to each other. The sender and its life come with each message from outside.
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The life of each member's store.
pub type Lives = BTreeMap<MemberId, u64>;

/// Guards additions to terms and indices against overflow: none honestly gets there.
pub(crate) const FAR: u64 = u64::MAX / 2;

/// A place in a log. Orders by term, then index: the greater end is the one more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The term of the entry there.
    pub term: u64,
    /// Its index; 0 is before the first.
    pub index: u64,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry: all members and the lives of their stores.
    Founding(Lives),
    /// A leader's first entry in its term.
    Noop,
    /// The member's store was lost; from now on it counts under this life.
    Readmit {
        /// The member.
        member: MemberId,
        /// Its new life.
        life: u64,
    },
    /// The host's.
    Data(Arc<[u8]>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it says.
    pub payload: Payload,
}

impl Entry {
    /// About the memory that it takes.
    pub fn weight(&self) -> usize {
        64 + match &self.payload {
            Payload::Data(data) => data.len(),
            Payload::Founding(lives) => lives.len() * 32,
            Payload::Noop | Payload::Readmit { .. } => 0,
        }
    }
}

/// How an `Append` or a `Chunk` ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The logs agree up to there.
    Match(u64),
    /// They don't at `prev`. The follower's entries from `first` on may all be of no use.
    Reject {
        /// What did not agree.
        prev: u64,
        /// Where to look next.
        first: u64,
        /// The term that the follower has there, if it has any.
        term: Option<u64>,
    },
    /// Of the snapshot up to `at`, the piece at `next` is due.
    Chunk {
        /// The snapshot's index.
        at: u64,
        /// The offset.
        next: u64,
    },
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To the founder: my store knows of no founded log.
    Hello {
        /// The sender's term.
        term: u64,
    },
    /// The founder asks for all votes, under exactly these lives.
    Found {
        /// The founder's term.
        term: u64,
        /// The lives that it would name.
        lives: Lives,
    },
    /// Would you vote for me?
    PreVote {
        /// The term that would be.
        term: u64,
        /// The end of the sender's log.
        last: Position,
    },
    /// Vote for me.
    Vote {
        /// The candidate's term.
        term: u64,
        /// The end of its log.
        last: Position,
    },
    /// The answer to the three above.
    Voted {
        /// The voter's term; a pre-vote's that is granted has the asked term.
        term: u64,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether it is given.
        granted: bool,
        /// Under which life the asker asked: a vote is given to a life, not to a name.
        to: u64,
    },
    /// Entries of a leader, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The place before the entries.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// Up to where the leader knows them to be committed.
        commit: u64,
        /// The leader's latest round.
        round: u64,
    },
    /// The answer to `Append` and `Chunk`.
    Appended {
        /// The follower's term.
        term: u64,
        /// The round that it answers.
        round: u64,
        /// Whether it promises: its life is admitted and what it says is on disk.
        counts: bool,
        /// How it ended.
        outcome: Outcome,
    },
    /// A piece of the leader's snapshot.
    Chunk {
        /// The leader's term.
        term: u64,
        /// The snapshot's last entry.
        at: Position,
        /// The lives as of there.
        lives: Lives,
        /// The size of the whole.
        size: u64,
        /// Where the piece begins.
        offset: u64,
        /// The piece.
        bytes: Vec<u8>,
        /// The leader's latest round.
        round: u64,
    },
}

impl Message {
    /// The term that it is of.
    pub fn term(&self) -> u64 {
        match self {
            Message::Hello { term }
            | Message::Found { term, .. }
            | Message::PreVote { term, .. }
            | Message::Vote { term, .. }
            | Message::Voted { term, .. }
            | Message::Append { term, .. }
            | Message::Appended { term, .. }
            | Message::Chunk { term, .. } => *term,
        }
    }
}
