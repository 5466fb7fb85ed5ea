//! Why the hosts cannot start.
use crate::storage_thread::StoreError;
use std::io;
use std::net::SocketAddr;

/// A fault that ends the start. Its text names the settings key.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The store cannot be opened or read.
    #[error("accord.state: {0}")]
    Store(#[from] StoreError),
    /// What the store holds for this member's part in maintenance cannot be decoded.
    #[error("accord.state: what the front kept can't be read: {0}")]
    SavedAgentState(postcard::Error),
    /// The replicated log rejects its configuration or its stored state.
    #[error("accord.state: {0}")]
    Log(#[from] consensus::StartError),
    /// A socket cannot be bound.
    #[error("accord.listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("accord: no thread: {0}")]
    Thread(io::Error),
}
