//! What makes the bytes of a connection invalid.

/// Why a session can't go on: the peer broke the protocol, or one end declined the login.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A data segment exceeds [`crate::MAX_DATA_BYTES`].
    #[error("a data segment is longer than 64 KiB")]
    DataSegmentTooLong,
    /// A PDU of the full feature phase came before the login was complete.
    #[error("before the login")]
    BeforeLogin,
    /// A login request came within a session.
    #[error("a login in a session")]
    LoginWithinSession,
    /// The target answered the login with a status other than success, or was about to.
    #[error("login refused")]
    LoginRefused,
    /// The target's first login response doesn't complete the login, which this initiator requires.
    #[error("the target wants to go on negotiating")]
    LoginIncomplete,
    /// A command number was skipped.
    #[error("a gap in the order of commands")]
    CommandGap,
    /// A Data-Out PDU doesn't continue the transfer that was requested.
    #[error("data that was not asked for")]
    UnsolicitedData,
    /// A Data-In PDU doesn't continue the data that came before it.
    #[error("data out of place")]
    DataOutOfPlace,
    /// An R2T requests bytes outside the data of the write.
    #[error("it asks for data that there is not")]
    TransferOutOfRange,
    /// A PDU answers no outstanding request.
    #[error("not an answer to what was asked")]
    UnexpectedResponse,
}
