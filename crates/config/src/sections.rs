//! Small sections of a file, and their defaults.
use scheduler::interface::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// CPU cores; the program uses one.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

/// Timeouts of client connections.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Seconds for which a connection may be idle even when connections are scarce.
    pub idle_s: f64,
    /// Seconds within which a command must be complete, and the first one on a connection must arrive.
    pub command_s: f64,
    /// Seconds for which responses may wait for a client that doesn't read them.
    pub unread_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { idle_s: 2.0, command_s: 2.4, unread_s: 5.0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How long a client waits for a response in total.
    pub deadline: Micros,
    /// Whether it writes; `None` if the file doesn't specify it, so that the client's command decides.
    pub write: Option<bool>,
}

/// A section that consists of a listener.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where it listens.
    pub listen: SocketAddr,
}
