//! Distribution of configuration changes to every gateway.
//!
//! The crate does no I/O: its host, the program that embeds it, passes in events and the current time, and performs the
//! returned actions.
//!
//! A few voters hold one ordered log of [`WriteBatch`]es. Applying it gives a [`Catalogue`]: the newest value of each
//! key, with the log index that wrote it. A [`Relay`] serves a catalogue to subscribers. Relays without a vote follow a voter's
//! as [`Subscriber`]s themselves; gateways are subscribers only. What a subscriber is sent depends only on its scope
//! and the version that it holds, so no queue is kept for it: a slow subscriber skips to the newest values.
//!
//! - A message is applied completely or not at all, and an older value never replaces a newer one.
//! - At a gateway, the cost of a change depends on the size of the change, and the memory on the size of the scope.
//! - [`Class::Primary`] is sent immediately; [`Class::Configuration`] is batched for [`Settings::batch_interval`].
//! - Acknowledgements are aggregated in [`Report`]s of bounded size: what is not applied yet, at which gateway, and why.
//!
//! Time spans are [`std::time::Duration`]s; sizes are in bytes.
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
