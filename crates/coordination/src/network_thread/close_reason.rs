//! Reasons for the end of a connection.
use crate::frame::DecodeError;
use message_auth::Rejection;

/// Why a connection ended. Its text is the reason code in the log line of the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The first frame did not arrive in time.
    #[error("timeout")]
    Timeout,
    /// The peer closed the connection, or the connection broke, between two frames.
    #[error("peer-closed")]
    PeerClosed,
    /// The connection broke within a frame, or the frame did not arrive in time.
    #[error("reset")]
    Reset,
    /// A frame exceeded the maximum length.
    #[error("bound")]
    FrameTooLong,
    /// A frame could not be authenticated.
    #[error("{0}")]
    NotAuthentic(Rejection),
    /// A frame could not be decoded.
    #[error("protocol ({0})")]
    Protocol(DecodeError),
    /// A frame had another sender than the first frame.
    #[error("foreign")]
    OtherSender,
    /// A frame was not sealed for this incarnation.
    #[error("stale")]
    StaleIncarnation,
    /// The connection could not be established.
    #[error("connect-failed")]
    ConnectFailed,
    /// A frame could not be written in time.
    #[error("stuck")]
    WriteTimeout,
    /// This side closed the connection, for the reason given by the code.
    #[error("{0}")]
    ClosedLocally(&'static str),
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// The number of frames received on it.
    pub frames: u64,
    /// Why it ended.
    pub reason: CloseReason,
}
