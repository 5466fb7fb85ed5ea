//! Discovery: the watch and the list of endpoints that it keeps up to date.
pub mod endpoint_list;
pub mod json_stream;
pub mod watch;
