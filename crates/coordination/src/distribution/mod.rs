//! Hosts of distributed configuration: connections between relays and subscribers, the saved copy of a subscriber, and the
//! transfer of changes from the replicated log to the relay.
//!
//! One thread runs the state machines of `config-distribution`; another one writes the saved copy.
mod connection;
mod connection_event;
mod error;
mod handle;
mod host;
mod mailbox;
pub mod outbox;
mod query;
mod relay_host;
pub mod saved_config;
mod settings;
mod start;
mod status;
mod subscriber_host;

pub use error::StartError;
pub use handle::Handle;
pub use mailbox::Mailbox;
pub use query::{ConfigUpdate, DistributionStatus, Query, QueryResponse};
pub use settings::{Role, Settings, Upstream};
pub use start::{start, Started};

pub(crate) use mailbox::HostMessage;
