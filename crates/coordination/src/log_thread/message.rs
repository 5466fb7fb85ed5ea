//! The messages of the log thread's mailbox.
use crate::frame::Frame;
use crate::gateway_message::CoordinationMessage;
use crate::storage_thread::WriteReport;
use cluster_types::MemberId;

/// A message to the log thread.
pub(crate) enum LogMessage {
    /// A frame of another member.
    Frame {
        /// The sender.
        from: MemberId,
        /// The frame.
        frame: Frame,
    },
    /// A message of this gateway.
    FromGateway(CoordinationMessage),
    /// A write report of the storage thread.
    Storage(WriteReport),
    /// Rollout reports of this member's relay, for the other control members.
    Reports(Vec<config_distribution::Report>),
}
