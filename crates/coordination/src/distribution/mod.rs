//! Host of changes of configuration: the connections of a relay and of a subscriber, what a front keeps on its disk, and the
//! way from the log to the relay. One thread of its own drives the machines of the package `changes`; another one writes.
mod connection;
mod host;
pub(crate) mod mailbox;
mod relay_host;
mod saved_config;
mod settings;
mod start;
mod subscriber_host;

pub use crate::log_thread::serve_catalogue::Serves;
pub use mailbox::{Decide, Handle, Mailbox, Query, State, Told};
pub use settings::{Role, Settings, Upstream};
pub use start::{start, Started};
