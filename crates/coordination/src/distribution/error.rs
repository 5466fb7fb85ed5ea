//! Errors that prevent the host of distributed configuration from starting.
use std::io;
use std::net::SocketAddr;

/// An error that prevents the start. Its text begins with the settings key.
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
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("changes: cannot start a thread: {0}")]
    Thread(io::Error),
}
