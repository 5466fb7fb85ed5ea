//! Sockets, connections, dialling and accepting, resource shortages, and the reasons for which connections are closed.
pub mod accept;
pub mod close_reason;
pub mod connection;
pub mod dial;
pub mod listeners;
pub mod resource_shortage;
pub mod socket;
