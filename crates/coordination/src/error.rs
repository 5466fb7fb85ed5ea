//! Errors that prevent the hosts from starting.
use crate::storage_thread::StoreError;
use std::io;
use std::net::SocketAddr;

/// An error that prevents the start. Its text begins with the settings key.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The store cannot be opened or read.
    #[error("accord.state: {0}")]
    Store(#[from] StoreError),
    /// The stored state of the maintenance agent cannot be decoded.
    #[error("accord.state: cannot decode the stored maintenance orders: {0}")]
    SavedAgentState(postcard::Error),
    /// The replicated log rejects its configuration or its stored state.
    #[error("accord.state: {0}")]
    Log(#[from] consensus::StartError),
    /// A socket cannot be bound.
    #[error("accord.listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("accord: cannot start a thread: {0}")]
    Thread(io::Error),
}
