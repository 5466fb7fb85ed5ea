//! Resharding: moving ranges of volumes between backends while they stay in use.
//!
//! The crate does no I/O, reads no clock and opens no socket: the log, the backends and the time are arguments. An
//! operator's [`Plan`] is turned into ordered [`Step`]s; [`ReshardingState`] is the replicated state machine that carries
//! them out as [`Migration`]s; [`MemberAgent`] is a member's part in them, and [`Leader`] the leader's.
//!
//! How a write is kept from running at two places:
//! - Every present member acknowledges a migration before a block is copied. From then on it reads and writes the range
//!   under its lease only.
//! - One command takes a member's rights away: [`Command::Revoke`]. The leader proposes it when the member's lease has
//!   expired by more than the clock drift and the longest command time, and grants that member no lease until it has
//!   applied the command.
//! - Each member reports which blocks it wrote behind the copy. What a revoked member wrote is not known, so the copy
//!   starts again.
//! - Writes wait from the freeze until each member knows the new place; reads go on. They wait for at most
//!   [`Settings::max_hand_over_wait`], plus what the log itself takes.
//! - A revoked member has to acknowledge again: a deposed migrator before the hand-over is committed, every member before
//!   the old place is given to others. It does so when it is connected again, or an operator declares it dead.
//!
//! A write over the border of two ranges is split: either all its parts are permitted or none, with one ticket.

pub mod block_set;
pub mod command;
pub mod effect;
pub mod leader;
pub mod member;
pub mod migration;
pub mod phase;
pub mod placement;
pub mod plan;
pub mod settings;
pub mod state;
pub mod status;
mod transitions;

pub use command::Command;
pub use effect::Effect;
pub use leader::{DeclareDeadError, Leader, LeaderView, Lease};
pub use member::{
    CommandResult, CopyOrder, CopyResult, CopyWork, DenialReason, ManagedVolumes, MemberAgent, Permission,
    Reply, WriteFence,
};
pub use migration::{Migration, RangeMove};
pub use phase::{MemberStanding, Phase};
pub use placement::{PlacedRange, Placement};
pub use plan::{
    order_steps, BackendView, Bounds, ClusterView, CrossZoneOrder, PieceMap, Plan, PlanError, PlanProblem,
    Step, VolumeView,
};
pub use settings::{shard_of, Settings};
pub use state::ReshardingState;
pub use status::StepStatus;
