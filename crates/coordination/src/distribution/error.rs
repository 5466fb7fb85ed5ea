//! Why the host of distributed configuration cannot start.
use std::io;
use std::net::SocketAddr;

/// A fault that ends the start. Its text names the settings key.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The saved configuration cannot be read.
    #[error("changes.state: {0}")]
    SavedConfig(io::Error),
    /// The relay's socket cannot be bound.
    #[error("changes.listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("changes: no thread: {0}")]
    Thread(io::Error),
}
