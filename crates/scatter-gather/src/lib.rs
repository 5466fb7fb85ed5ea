//! Scatter-gather: combines the responses of several shards into one answer within a deadline, possibly a partial one.
//! Sans-I/O: events and the current time are inputs, actions are outputs.
//!
//! A [`Policy`] lists the shard requests of an answer, how many responses are needed, and how long to wait for remote
//! zones. A [`Gather`] collects the responses for one answer. [`Gathers`] holds all open gathers and their shared state:
//! the health of each zone ([`ZoneTracker`]) and the memory limit ([`MemoryBudget`]).
//!
//! The scheduler treats each shard request as a separate request and alone decides on retries; a gather sends each once.
//! Writes are never gathered: [`Policy::check`] rejects every class that is not declared read-only.
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
pub use shared::{Counters, SharedState};
pub use status::{parse_status, AnswerStatus, MAX_STATUS_BYTES};
pub use zone::ZoneHealth;
pub use zone_tracker::{WaitPlan, ZoneCondition, ZoneObservation, ZoneReport, ZoneTracker, MAX_ZONES};
