//! Errors that end a session.

/// Why a session ends: the peer violated the protocol, or the login failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A data segment exceeds [`crate::MAX_DATA_BYTES`].
    #[error("a data segment is longer than 64 KiB")]
    DataSegmentTooLong,
    /// A PDU of the full feature phase arrived before the login was complete.
    #[error("a PDU of the full feature phase before the login")]
    BeforeLogin,
    /// A login request arrived in the full feature phase.
    #[error("a login request in the full feature phase")]
    LoginWithinSession,
    /// The login failed with a status other than success.
    #[error("login refused")]
    LoginRefused,
    /// The target's first login response doesn't complete the login, as this initiator requires.
    #[error("the target requires further login negotiation")]
    LoginIncomplete,
    /// A command number was skipped.
    #[error("a command number was skipped")]
    CommandGap,
    /// A Data-Out PDU doesn't continue the transfer that was requested.
    #[error("unsolicited data")]
    UnsolicitedData,
    /// A Data-In PDU doesn't continue the data received so far.
    #[error("Data-In out of order")]
    DataOutOfPlace,
    /// An R2T requests bytes outside the data of the write.
    #[error("an R2T requests bytes outside the data of the write")]
    TransferOutOfRange,
    /// A PDU doesn't answer an outstanding request.
    #[error("a PDU that answers no outstanding request")]
    UnexpectedResponse,
}
