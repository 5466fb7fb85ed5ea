//! Coordinated maintenance of backends: which backends may be taken out of service, when, and how they return to full
//! load.
//!
//! The crate does no I/O and has two halves. [`MaintenanceState`] is a replicated state machine: every member applies the
//! same log and reaches the same state. The leader asks [`MaintenanceState::propose`] which commands to append next;
//! [`MaintenanceState::apply`] checks every rule again against replicated facts, so that a late proposal of a deposed
//! leader can't violate any. [`MemberAgent`] runs on each member and carries out the orders that the state has for that
//! member, for as long as its lease is valid.
//!
//! A backend counts as out of service while it is granted or recovering, while it has failed or is warming up, and, for
//! [`Rules::unlisted_grace_ms`], after discovery has stopped listing it. A grant never raises the number of such backends
//! above the limits of [`Rules`]. Failures may exceed them; then only failed backends are granted, for repair, and never
//! more of them at once than the rules allow.
//!
//! Times in the log are Unix times of successive leaders and differ by their clock skew. No bound depends on
//! them: they decide deadlines, overdue work, the age of measurements and when an unlisted backend is forgotten. The
//! stages of a recovery are timed on the leader's monotonic clock ([`StageTimer`]).
#![deny(missing_docs)]

mod admission;
mod bound;
mod command;
mod effect;
mod facts;
mod grant;
pub mod limits;
mod member_agent;
mod member_status;
mod order;
mod proposal;
mod queries;
mod quota;
mod recovery;
mod rejection;
mod request;
mod rules;
mod stage_timer;
mod state;
mod status;
mod transitions;

pub use bound::Bound;
pub use command::{Command, CommandLabel, Presence};
pub use effect::Effect;
pub use facts::{BackendFacts, VolumeFacts};
pub use grant::Grant;
pub use member_agent::{Action, Event, MemberAgent, PersistedOrders, Report};
pub use member_status::MemberStatus;
pub use order::{MemberOrder, Quota};
pub use proposal::ClusterView;
pub use quota::{distribute_quotas, Quotas};
pub use recovery::Recovery;
pub use rejection::Rejection;
pub use request::{BackendOutcome, MaintenanceRequest};
pub use rules::{Rules, RulesError};
pub use stage_timer::StageTimer;
pub use state::MaintenanceState;
pub use status::RequestStatus;
