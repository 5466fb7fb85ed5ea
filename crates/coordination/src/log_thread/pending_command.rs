//! A command of this member that is not in the log yet.
use crate::operator_call::ResponseSender;
use crate::state_machine::Command;
use cluster_types::Time;

/// A command of this member that is not in the log yet.
pub(crate) struct PendingCommand {
    pub(crate) command: Command,
    pub(crate) created_at: Time,
    pub(crate) sent_at: Time,
    /// The channel for the response, if anyone waits for it.
    pub(crate) respond_to: Option<ResponseSender>,
}
