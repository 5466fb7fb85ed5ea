//! Distribution of configuration changes to every gateway, free of I/O: events, time and randomness in, actions out.
//!
//! A few voters hold one ordered log of [`WriteBatch`]es. Applying it gives a [`Catalogue`]: of each key the newest value,
//! with the log index that wrote it. A [`Relay`] serves a catalogue to subscribers. Relays without a vote follow a voter's
//! as [`Subscriber`]s themselves; gateways are subscribers only. What a subscriber is sent depends on nothing but its scope
//! and the version that it holds, so nothing is queued for it: a slow one later receives the newest values.
//!
//! - A message is applied completely or not at all, and an older value never replaces a newer one.
//! - The cost of a change at a gateway depends on the size of the change, the memory on the size of the scope.
//! - [`Class::Primary`] is sent at once; [`Class::Configuration`] is batched for [`Settings::batch_interval`].
//! - Acknowledgements are aggregated in [`Report`]s of bounded size: what is not applied yet, where, and why.
//!
//! Spans are [`std::time::Duration`]s, sizes are bytes.
#![deny(missing_docs)]

mod catalogue;
mod change;
mod checksum;
mod fleet_status;
mod key;
mod message;
pub mod persisted;
mod rejection;
mod relay;
mod report;
mod scope;
mod settings;
mod subscriber;
mod token_bucket;
mod write_batch;

pub use catalogue::{Catalogue, CatalogueSize, ChangesSince, Chunk};
pub use change::{Change, Class, MAX_VALUE_BYTES};
pub use fleet_status::{FleetStatus, RolloutStatus};
pub use key::{is_valid_name, Key, Topic, MAX_NAME_BYTES};
pub use message::{RelayMessage, SubscriberMessage};
pub use rejection::Rejection;
pub use relay::{CloseReason, Relay, RelayAction, RelayEvent, RelayStats};
pub use report::{GatewayRejection, Lag, Report, MAX_REPORTED_GATEWAYS};
pub use scope::{Scope, MAX_SCOPE_TOPICS};
pub use settings::{RateLimit, Settings};
pub use subscriber::{
    Subscriber, SubscriberAction, SubscriberConfig, SubscriberEvent, SubscriberState, SubscriberStats,
};
pub use token_bucket::TokenBucket;
pub use write_batch::{Put, WriteBatch, WriteBatchError, MAX_BATCH_PUTS};
