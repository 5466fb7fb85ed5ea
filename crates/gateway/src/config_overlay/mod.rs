//! Distributed configuration, laid over the file's.
pub mod actor;
pub mod effective;
pub mod host_settings;
