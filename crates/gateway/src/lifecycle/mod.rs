//! Start, reload, graceful shutdown, handover between processes, and the process lock.
pub mod handover;
pub mod process_files;
pub mod process_lock;
pub mod reload;
pub mod shutdown;
pub mod shutdown_times;
pub mod start;
pub mod write_claims;
