//! Requests that are scattered over shards and whose responses are gathered.
pub mod actor;
pub mod handle;
pub mod response;
pub mod shard_requests;
pub mod time;
