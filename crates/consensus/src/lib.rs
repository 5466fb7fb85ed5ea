//! A replicated log under a quorum of the configured members, free of I/O: time, messages and the disk's answers come
//! in as events, messages and writes go out as actions. After the published Raft paper, with pre-vote, check-quorum,
//! a leader's lease, and *lives* for stores whose disk was lost.
//!
//! What the rules are:
//!
//! - **Disk.** A vote, an acknowledgement and the leader's own count wait for their batch to be written. After
//!   `PersistFailed` a member steps down, neither votes nor campaigns, and acknowledges only so that the leader can
//!   go on sending (`counts: false`). It goes on following and applying in memory. `Recovered` makes it write all it
//!   has anew; it promises again once that is written.
//! - **Lives.** A store draws a random life when it is made. The first entry names each member's life. It is made
//!   by the member whose name sorts first, after *all* have voted for exactly these lives with unfounded stores, and is only
//!   committed once *all* have written it; nothing else is committed before. So whoever is left of a founded log
//!   knows that there was one. While the founding is not committed it may be done again with other lives, but only
//!   where a quorum of the earlier lives takes part and none of them has seen a second entry.
//! - **Readmission.** A member under a new life is sent the log, and once it has what is committed, the leader
//!   proposes `Readmit`. That entry is committed without it (it needs a quorum of the others). The member's own votes
//!   and acknowledgements count only once it knows, on disk, that its readmission is committed, and only where the
//!   receiver's log has that life. The quorum is always a majority of all configured members.
//! - **Lease.** A follower that heard the leader refuses votes for `election_min`, as does one that has just
//!   started. So after a quorum has answered a round, nobody else can lead for that time from the round's
//!   start, less the bound of the clocks' drift. A leader that steps down keeps its own vote back as long.
//! - **Host's part.** Batches are written whole and in order; after one has failed, no later one is written. What
//!   was applied is rebuilt from the snapshot and the log at a start: entries may be applied before this
//!   member has them on disk. A disk that hangs is to be reported as failed.
mod bootstrap;
mod config;
mod counters;
mod election;
mod error;
mod event;
mod follower;
mod leader;
mod lease;
mod log;
mod message;
mod node;
mod observe;
mod persistence;
mod progress;
mod readmission;
mod replication;
mod snapshot_transfer;
mod stored_state;

pub use config::Config;
pub use counters::Counts;
pub use error::Fault;
pub use event::{Action, Batch, Event, Hard, Role, Why};
pub use log::Snapshot;
pub use message::{Entry, Lives, Message, Outcome, Payload, Position};
pub use node::Node;
pub use stored_state::Stored;
