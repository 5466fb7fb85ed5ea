//! Counters of the links.
use std::sync::atomic::{AtomicU64, Ordering};

/// What was rejected or lost on the links between members.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Frames that could not be opened: not authentic, replayed, or too long.
    pub rejected_frames: AtomicU64,
    /// Frames that were authentic and could not be decoded.
    pub undecodable_frames: AtomicU64,
    /// Frames for which the mailbox had no room.
    pub dropped_frames: AtomicU64,
    /// Frames lost with their link.
    pub lost_frames: AtomicU64,
    /// Connections beyond the bound.
    pub rejected_connections: AtomicU64,
}

/// Counts one more.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
