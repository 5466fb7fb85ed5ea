//! A replicated log based on the Raft algorithm, as a state machine without I/O.
//!
//! A [`Node`] is one member of the group. The host feeds it [`Event`]s (time, messages, completed writes) and carries out the
//! [`Action`]s it returns (messages, writes, entries to apply). The node reads no clock and takes its randomness from a seed, so
//! that a run can be replayed.
//!
//! The algorithm follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", with the extensions of
//! Ongaro's thesis: pre-vote, check-quorum, and a leader lease for reads. It differs from them in how it handles a member
//! that has lost its disk:
//!
//! - **Storage.** A vote, an acknowledgement and the leader's own acknowledgement take effect once their batch is on disk.
//!   After [`Event::PersistFailed`] a member steps down, neither votes nor campaigns, and acknowledges without counting towards
//!   the quorum (`counts_for_quorum: false`), so that the leader can continue sending. It still follows the leader and applies
//!   entries in memory. [`Event::StorageRecovered`] makes it write its whole state again; it counts once that is written.
//! - **Incarnations.** A store draws a random incarnation when it is created. The first entry of the log, the bootstrap entry,
//!   names the incarnation of each member. It is proposed by the member whose name sorts first, after *all* members have
//!   voted for exactly these incarnations with stores that hold no log, and it is committed once *all* have written it. Nothing
//!   else is committed before, so any remaining member of a bootstrapped group knows that the group exists. An uncommitted
//!   bootstrap may be repeated with other incarnations, but only if a quorum of the earlier incarnations takes part and none
//!   of them has seen a second entry.
//! - **Readmission.** A member with a new incarnation is sent the log; once it holds everything that is committed, the leader
//!   proposes [`Payload::Readmit`]. That entry is committed by a quorum of the others. The member's votes and acknowledgements
//!   count once it has recorded on disk that its readmission is committed, and if the receiver's log admits that incarnation.
//!   The quorum is always a majority of all configured members.
//! - **Lease.** A follower refuses to vote for `min_election_timeout` after it last heard from the leader, and after its own
//!   start. Once a quorum has answered a heartbeat round, no other member can therefore lead for that time, counted from the
//!   start of the round and shortened by the maximum clock drift. A leader that steps down withholds its own vote until its
//!   lease has expired.
//! - **Host requirements.** Batches must be written atomically and in order; after one has failed, no later one may be written.
//!   The applied state must be rebuilt from the snapshot and the log at start, because entries may be applied before this member
//!   has them on disk. A disk that hangs must be reported as failed.
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
