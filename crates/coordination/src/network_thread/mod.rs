//! The thread of the sockets.
pub mod framing;
pub(crate) mod thread;
