//! The thread of the replicated log.
pub mod operator_calls;
mod periodic;
mod raft_host;
pub(crate) mod serve_catalogue;
pub(crate) mod thread;
