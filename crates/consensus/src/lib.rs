//! A replicated log by the Raft algorithm, free of I/O.
//!
//! A [`Node`] is one member of the group. The host feeds it [`Event`]s (time, messages, completed writes) and carries out the
//! [`Action`]s it returns (messages, writes, entries to apply). The node reads no clock and draws randomness from a seed, so a
//! run can be replayed.
//!
//! The algorithm follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", with the extensions of
//! Ongaro's thesis: pre-vote, check-quorum, and a leader lease for reads. It departs from them in what it does about a member
//! whose disk is lost:
//!
//! - **Storage.** A vote, an acknowledgement and the leader's own acknowledgement take effect once their batch is on disk.
//!   After [`Event::PersistFailed`] a member steps down, neither votes nor campaigns, and acknowledges without counting for the
//!   quorum (`counts_for_quorum: false`), so that the leader can go on sending. It still follows and applies in memory.
//!   [`Event::StorageRecovered`] makes it write its whole state again; it counts once that is written.
//! - **Incarnations.** A store draws a random incarnation when it is created. The first entry of the log, the bootstrap entry,
//!   names the incarnation of each member. It is proposed by the member whose name sorts first, after *all* members have
//!   voted for exactly these incarnations with stores that hold no log, and it is committed once *all* have written it. Nothing
//!   else is committed before, so any member left of a bootstrapped group knows that there was one. An uncommitted bootstrap
//!   may be repeated with other incarnations, but only where a quorum of the earlier incarnations takes part and none of
//!   them has seen a second entry.
//! - **Readmission.** A member under a new incarnation is sent the log; once it holds all that is committed, the leader proposes
//!   [`Payload::Readmit`]. That entry is committed by a quorum of the others. The member's votes and acknowledgements
//!   count once it knows, on disk, that its readmission is committed, and where the receiver's log holds that incarnation.
//!   The quorum is always a majority of all configured members.
//! - **Lease.** A follower refuses to vote for `min_election_timeout` after it heard the leader, and after its own start. So
//!   once a quorum has answered a heartbeat round, no other member can lead for that time, counted from the start of the
//!   round and shortened by the bound of clock drift. A leader that steps down withholds its own vote as long.
//! - **The host's duty.** Batches are written atomically and in order; after one has failed, no later one is written. The
//!   applied state is rebuilt from snapshot and log at start: entries may be applied before this member has them on
//!   disk. A disk that hangs is to be reported as failed.
mod action;
mod bootstrap;
mod bootstrap_hello;
mod compaction;
mod config;
mod counters;
mod election;
mod entry;
mod error;
mod event;
mod follower;
mod incoming_snapshot;
mod leader;
mod leader_state;
mod lease;
mod log;
mod message;
mod node;
mod observe;
mod persistence;
mod progress;
mod readmission;
mod replication;
mod role;
mod snapshot;
mod snapshot_transfer;
mod stored_state;
mod write_batch;
mod write_queue;

pub use action::{Action, Rejection};
pub use config::Config;
pub use counters::Counters;
pub use entry::{Entry, Incarnations, LogPosition, Payload};
pub use error::StartError;
pub use event::Event;
pub use message::{AppendOutcome, AppendRequest, AppendResponse, Message, SnapshotChunk, VoteResponse};
pub use node::Node;
pub use role::Role;
pub use snapshot::Snapshot;
pub use stored_state::StoredState;
pub use write_batch::{HardState, Vote, WriteBatch};
