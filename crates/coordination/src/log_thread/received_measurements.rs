//! The measurements of a member.
use crate::measurements::Measurements;
use cluster_types::{Index, Time};

/// The measurements of a member, with the time at which they were received.
pub(crate) struct ReceivedMeasurements {
    pub(crate) received_at: Time,
    /// The index up to which the member had applied the log.
    pub(crate) applied_index: Index,
    pub(crate) measurements: Measurements,
}
