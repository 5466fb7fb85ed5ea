//! The iSCSI target: connections and sessions of initiators, and the record of writes.
pub mod request;
pub mod server;
pub mod session;
pub mod shared;
pub mod write_record;
