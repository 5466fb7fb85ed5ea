//! Sections of a file that are read as they stand, and their defaults.
use scheduler::interface::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Cores; the program uses one.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

/// How long clients' connections are waited for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Seconds for which a connection may stand idle even where connections are scarce.
    pub idle_s: f64,
    /// Seconds in which a command must be whole, and the first one on a connection be there.
    pub command_s: f64,
    /// Seconds for which answers may wait that the client does not read.
    pub unread_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { idle_s: 2.0, command_s: 2.4, unread_s: 5.0 }
    }
}

/// A class, as requests name it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The time for which a client waits in all.
    pub deadline: Micros,
    /// Whether it writes; none where the file does not tell, and the client's command does.
    pub write: Option<bool>,
}

/// A listener of its own.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where it listens.
    pub listen: SocketAddr,
}
