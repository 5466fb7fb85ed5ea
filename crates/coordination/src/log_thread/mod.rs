//! The thread of the replicated log.
//!
//! Frames of the other members, reports of the storage, measurements and calls of this gateway arrive in one mailbox and are
//! handled sequentially; the decisions of the state machines are sent to the other threads.
mod apply;
mod catalogue_feed;
mod effect_log;
mod facts;
mod frames;
mod leader;
mod maintenance_host;
mod message;
mod operator_calls;
mod pending_command;
mod periodic;
mod raft_host;
mod received_measurements;
mod serve_catalogue;
pub mod status;
mod thread;

pub(crate) use message::LogMessage;
pub(crate) use thread::{LogThread, LogThreadParts, Outboxes};
