//! Counters of the links.
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of what was rejected or lost on the links between members.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Frames that were rejected as not authentic, replayed, or too long.
    pub rejected_frames: AtomicU64,
    /// Authentic frames that could not be decoded.
    pub undecodable_frames: AtomicU64,
    /// Received frames that were dropped because the mailbox was full.
    pub dropped_frames: AtomicU64,
    /// Outgoing frames that were lost because their link failed.
    pub lost_frames: AtomicU64,
    /// Connections that were rejected because too many were open.
    pub rejected_connections: AtomicU64,
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
