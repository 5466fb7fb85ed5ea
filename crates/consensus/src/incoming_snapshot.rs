//! A snapshot that is being received.
use crate::entry::LogPosition;

/// The part of a snapshot that a follower has received so far.
#[derive(Clone, Debug, Hash)]
pub(crate) struct IncomingSnapshot {
    pub(crate) last: LogPosition,
    pub(crate) total_bytes: usize,
    pub(crate) bytes: Vec<u8>,
}
