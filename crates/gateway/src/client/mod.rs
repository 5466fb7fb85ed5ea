//! RESP2 clients: sessions, commands, responses and connection slots.
pub mod arrival_times;
pub mod command;
pub mod connection_slots;
pub mod resp_server;
pub mod response;
pub mod response_queue;
pub mod session;
mod submission;
