//! Host of changes of configuration: the connections of a relay and of a subscriber, what a front keeps on its disk, and the
//! way from the log to the relay. One thread of its own drives the machines of the package `changes`; another one writes.
mod connection;
mod host;
mod keep;
mod log;
mod mail;
mod relay;
mod settings;
mod start;
mod subscriber;

pub use log::Serves;
pub use mail::{Decide, Handle, Mailbox, Query, State, Told};
pub use settings::{Role, Settings, Upstream};
pub use start::{start, Started};
