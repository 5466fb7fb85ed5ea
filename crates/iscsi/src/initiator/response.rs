//! What an initiator session reports to its caller.

/// The result of a PDU from the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The caller has nothing to do.
    Pending,
    /// The session has begun.
    LoggedIn,
    /// The command has ended.
    Completed {
        /// Its tag.
        tag: u32,
        /// The SCSI status.
        status: u8,
        /// The status qualifier.
        qualifier: u16,
        /// The data of a read.
        data: Vec<u8>,
        /// Sense data.
        sense: Vec<u8>,
    },
    /// The response code to a task management request.
    TaskManagement(u8),
    /// The target rejected a PDU, for this reason code.
    Rejected(u8),
    /// The target's answer to a text request or a ping.
    Text(Vec<u8>),
    /// The target has ended the session.
    LoggedOut,
}
