//! Backends: the pool, one actor for each backend, RESP2 and iSCSI exchanges, values and statistics.
pub mod actor;
pub mod attempt;
pub mod endpoint;
pub mod exchange;
pub mod iscsi_exchange;
pub mod pool;
mod pool_update;
pub mod reply_timeout;
pub mod resp_encoding;
pub mod resp_exchange;
pub mod start_times;
pub mod statistics;
pub mod streaming;
pub mod value;
