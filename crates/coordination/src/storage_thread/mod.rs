//! The thread that writes to disk.
pub mod store;
pub mod writer;
