//! Identifiers and values that several packages share: members, backends, zones, volumes, time, log positions and block
//! ranges.
mod block_range;
mod identifiers;
mod log_index;
mod time;

pub use block_range::BlockRange;
pub use identifiers::{BackendId, MemberId, Volume, Zone};
pub use log_index::Index;
pub use time::Time;
