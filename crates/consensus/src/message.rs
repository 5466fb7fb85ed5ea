//! The messages between members. The transport supplies the sender and the incarnation of its store with each message.
use crate::entry::{Entry, Incarnations, LogPosition};
use serde::{Deserialize, Serialize};

/// The answer to a request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The voter's term; for a granted pre-vote, the term that was asked for.
    pub term: u64,
    /// Whether this answers a pre-vote.
    pub is_pre_vote: bool,
    /// Whether the vote is granted.
    pub is_granted: bool,
    /// The incarnation under which the candidate asked: a vote is given to an incarnation, not to a member name.
    pub candidate_incarnation: u64,
}

/// Log entries from the leader; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: u64,
    /// The position before the first of the entries.
    pub previous: LogPosition,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit_index: u64,
    /// The leader's latest heartbeat round.
    pub round: u64,
}

/// The outcome of an [`AppendRequest`] or a [`SnapshotChunk`] at a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs agree up to this index.
    Matched(u64),
    /// The logs differ at `previous_index`.
    Rejected {
        /// The index at which the logs differ.
        previous_index: u64,
        /// The index to try next: the follower's entries from here on may all differ.
        retry_index: u64,
        /// The term of the follower's entry at `previous_index`, if it has one.
        conflict_term: Option<u64>,
    },
    /// The follower awaits another chunk of a snapshot.
    ChunkExpected {
        /// The last index of the snapshot.
        snapshot_index: u64,
        /// The offset of the chunk, in bytes.
        offset: u64,
    },
}

/// The answer to an [`AppendRequest`] or a [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The follower's term.
    pub term: u64,
    /// The heartbeat round that is answered.
    pub round: u64,
    /// Whether the leader may count the answer: the follower's incarnation is admitted, and what it reports is on its disk.
    pub counts_for_quorum: bool,
    /// The outcome.
    pub outcome: AppendOutcome,
}

/// A part of the leader's snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// The position of the last entry in the snapshot.
    pub last: LogPosition,
    /// The incarnations that are admitted as of that entry.
    pub incarnations: Incarnations,
    /// The size of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// The offset of this chunk, in bytes.
    pub offset: u64,
    /// The bytes of this chunk.
    pub bytes: Vec<u8>,
    /// The leader's latest heartbeat round.
    pub round: u64,
}

/// A message between members. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Sent to the member that bootstraps the group: the sender's store holds no bootstrapped log.
    BootstrapHello {
        /// The sender's term.
        term: u64,
    },
    /// Asks all members to vote for a bootstrap under exactly these incarnations.
    BootstrapRequest {
        /// The term of the sender.
        term: u64,
        /// The incarnations that the bootstrap entry would name.
        incarnations: Incarnations,
    },
    /// Asks whether a vote would be granted.
    PreVoteRequest {
        /// The term that the election would have.
        term: u64,
        /// The position of the last entry in the sender's log.
        last: LogPosition,
    },
    /// Asks for a vote.
    VoteRequest {
        /// The candidate's term.
        term: u64,
        /// The position of the last entry in the candidate's log.
        last: LogPosition,
    },
    /// Answers a bootstrap, pre-vote or vote request.
    VoteResponse(VoteResponse),
    /// Log entries from the leader, or a heartbeat.
    AppendRequest(AppendRequest),
    /// Answers an `AppendRequest` or a `SnapshotChunk`.
    AppendResponse(AppendResponse),
    /// A part of the leader's snapshot.
    SnapshotChunk(SnapshotChunk),
}

impl Message {
    /// The term stated in the message.
    pub fn term(&self) -> u64 {
        match self {
            Message::BootstrapHello { term }
            | Message::BootstrapRequest { term, .. }
            | Message::PreVoteRequest { term, .. }
            | Message::VoteRequest { term, .. } => *term,
            Message::VoteResponse(response) => response.term,
            Message::AppendRequest(request) => request.term,
            Message::AppendResponse(response) => response.term,
            Message::SnapshotChunk(chunk) => chunk.term,
        }
    }
}
