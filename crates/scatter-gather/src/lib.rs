//! Scatter-gather: one answer from the responses of several shards, in time, and perhaps partial. Free of I/O: events and time
//! in, actions out.
//!
//! A [`Policy`] names the shard requests that make an answer, how many responses are needed, and how long remote zones are
//! waited for. A [`Gather`] is one answer in the making; [`Gathers`] holds all that are open and what they share: the health
//! of each zone ([`ZoneTracker`]) and the bound on their memory ([`MemoryBudget`]).
//!
//! Each shard request is a request of its own for the scheduler, which alone decides on retries: a gather sends each once.
//! Writes are never gathered: [`Policy::check`] rejects each class that is not known to read only.
mod answer;
mod check;
mod conclude;
mod gather;
mod gathers;
mod health_rules;
mod latency;
mod memory;
mod policy;
mod policy_error;
mod quorum;
mod responses;
mod shared;
mod slot;
mod status;
mod zone;
mod zone_tracker;

pub use answer::{Answer, Cause, Failure, Gathered, HeldValue, MissingReason, MissingResponse};
pub use check::{check_all, RequestClass, MAX_GATHERS, MAX_SHARD_REQUESTS};
pub use gather::{Gather, GatherAction, GatherEvent, ShardResponse};
pub use gathers::{GatherId, Gathers, TooManyGathers};
pub use health_rules::HealthRules;
pub use latency::LatencyHistogram;
pub use memory::{MemoryBudget, Reservation, Size};
pub use policy::{PartialResultPolicy, Policy, QuorumConditions, QuorumRule, ShardRequest};
pub use policy_error::{PolicyError, PolicyErrorReason};
pub use shared::{Counters, Shared};
pub use status::{parse_status, AnswerStatus, MAX_STATUS_BYTES};
pub use zone::ZoneHealth;
pub use zone_tracker::{WaitPlan, ZoneCondition, ZoneObservation, ZoneReport, ZoneTracker, MAX_ZONES};
