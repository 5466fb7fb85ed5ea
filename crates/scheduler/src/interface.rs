//! The interface of the scheduler: settings, the events that it handles and the actions that it returns.
//!
//! Types only: all decisions are made in `scheduler.rs` and the files under `scheduler/`.
mod action;
mod event;
mod ids;
mod settings;

pub use action::Action;
pub use event::{AttemptOutcome, AttemptReport, BackendEntry, BackendState, EndpointUpdate, Event, Request};
pub use ids::{BackendId, KeyId, Micros, RequestId, ShardId, VolumeId};
pub use settings::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Plan, RetryBudget, Settings, SettingsError,
    SlowStart,
};
