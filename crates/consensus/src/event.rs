//! What comes in and what goes out.
use crate::log::Snapshot;
use crate::message::{Entry, Message};
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What comes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A member said something.
    Message {
        /// Who.
        from: MemberId,
        /// Under which life.
        life: u64,
        /// What.
        message: Message,
    },
    /// The host wants this in the log.
    Propose {
        /// The host's name for it.
        ticket: u64,
        /// What.
        data: Arc<[u8]>,
    },
    /// The host wants to read what is committed by now.
    Barrier {
        /// The host's name for it.
        ticket: u64,
    },
    /// This batch and all before it are on disk.
    Persisted {
        /// Its number.
        batch: u64,
    },
    /// This batch, and none after it, is on disk, or it is not known.
    PersistFailed {
        /// Its number.
        batch: u64,
    },
    /// The disk can be written again.
    Recovered,
    /// What was applied up to there, in one piece.
    Snapshot {
        /// Its last entry.
        upto: Index,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
}

/// What is stored beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// The term.
    pub term: u64,
    /// Who was given the vote in it, under which life.
    pub vote: Option<(MemberId, u64)>,
    /// Up to where the log is known to be committed; may lag behind.
    pub commit: Index,
}

/// To be written as one: first `truncate`, then `snapshot`, then `append`, with `hard` in place of the old.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Its number; they grow.
    pub id: u64,
    /// The new hard state.
    pub hard: Hard,
    /// Entries from this one on go.
    pub truncate: Option<Index>,
    /// Takes the old one's place; entries up to its last one go.
    pub snapshot: Option<Snapshot>,
    /// Entries to add.
    pub append: Vec<Entry>,
}

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows, or waits for a leader.
    Follower,
    /// Asks whether it would be voted for.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Why something was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// Another leads: this one, if known.
    NotLeader(Option<MemberId>),
    /// A bound is reached; later there may be room.
    Full,
    /// It is larger than a message may be.
    Large,
    /// The leader lost its place: it may be committed or not.
    Lost,
    /// This member's disk has failed.
    Disk,
}

/// What goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Say this to a member.
    Send {
        /// Whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// Write this; answer with `Persisted` or `PersistFailed`.
    Persist(Batch),
    /// This entry of the host is committed. Indices grow, with gaps where entries are the log's own.
    Apply {
        /// Its place.
        index: Index,
        /// Its term.
        term: u64,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
    /// Forget what was applied and begin with this.
    Restore {
        /// Its last entry.
        index: Index,
        /// The host's bytes.
        data: Arc<[u8]>,
    },
    /// That proposal is committed at this place; comes after its `Apply`.
    Committed {
        /// The host's name for it.
        ticket: u64,
        /// Its place.
        index: Index,
    },
    /// All that was committed when the barrier was asked for is applied.
    Readable {
        /// The host's name for it.
        ticket: u64,
        /// Up to where.
        index: Index,
    },
    /// That proposal or barrier is not served.
    Refused {
        /// The host's name for it.
        ticket: u64,
        /// Why.
        why: Why,
    },
    /// What this member is has changed.
    Role {
        /// What it is.
        role: Role,
        /// In which term.
        term: u64,
        /// Whom it follows.
        leader: Option<MemberId>,
    },
    /// The log grows long: answer with `Snapshot` of what is applied up to there or later.
    WantSnapshot {
        /// At least up to there.
        upto: Index,
    },
}
