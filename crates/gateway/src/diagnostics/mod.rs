//! What the log tells beyond connections: stalls of the main thread, and requests that were not served at the first attempt.
pub mod request_lines;
pub mod stall_monitor;
