//! Online resharding: moves ranges of volumes between backends while clients use them.
//!
//! The crate does no I/O, reads no clock and opens no socket: the log, the backends and the time are arguments. An
//! operator's [`Plan`] is compiled into ordered [`Step`]s. The replicated state machine [`ReshardingState`] executes
//! each step as a [`Migration`]; [`MemberAgent`] implements a member's part in it, and [`Leader`] the leader's.
//!
//! How a write is prevented from running on both the source and the target backend:
//! - Every present member acknowledges a migration before any block is copied. From then on, it reads and writes the
//!   range only under its lease.
//! - [`Command::Revoke`] is the command that takes a member's rights away. The leader proposes it when the member's
//!   lease has been expired for longer than the maximum clock drift plus the maximum command time, and grants that
//!   member no lease until it has applied the command.
//! - Each member reports the blocks that it wrote during the copy. The writes of a revoked member are unknown, so the
//!   copy restarts.
//! - Writes are held from the freeze until every member knows the new backend; reads continue. Writes are held for at
//!   most [`Settings::max_hand_over_wait`], plus the latency of the log.
//! - A revoked member must acknowledge again: a deposed migrator before the hand-over is committed, every member before
//!   the source range is released. It does so once it is connected again; otherwise an operator declares it dead.
//!
//! A write that spans several ranges is split. Its parts share one ticket, and either all or none of them are
//! permitted.

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
    CommandResult, CopyOperation, CopyResult, CopyTask, DenialReason, ManagedVolumes, MemberAgent,
    Permission, Reply, WriteFence,
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
