//! Sockets, connections, dialling and accepting, shortages of resources, and the reasons why connections close.
pub mod accept;
pub mod close_reason;
pub mod connection;
pub mod dial;
pub mod listeners;
pub mod resource_shortage;
pub mod socket;
