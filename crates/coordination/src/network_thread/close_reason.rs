//! Why a connection ended.
use crate::frame::DecodeError;
use message_auth::Rejection;

/// Why a connection ended. Its text is the reason code in the log line of the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The first frame did not arrive in time.
    #[error("timeout")]
    Timeout,
    /// The peer closed the connection between two frames, or the connection broke there.
    #[error("peer-closed")]
    PeerClosed,
    /// The connection broke within a frame, or the frame did not arrive in time.
    #[error("reset")]
    Reset,
    /// A frame was longer than its bound.
    #[error("bound")]
    FrameTooLong,
    /// A frame did not open.
    #[error("{0}")]
    NotAuthentic(Rejection),
    /// A frame could not be decoded.
    #[error("protocol ({0})")]
    Protocol(DecodeError),
    /// A frame was of another sender than the first.
    #[error("foreign")]
    OtherSender,
    /// A frame was not sealed for this incarnation.
    #[error("stale")]
    StaleIncarnation,
    /// The connection could not be established.
    #[error("connect-failed")]
    ConnectFailed,
    /// The peer did not take a frame in time.
    #[error("stuck")]
    WriteTimeout,
    /// This side closed the connection: the code tells why.
    #[error("{0}")]
    ClosedLocally(&'static str),
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// How many frames arrived on it.
    pub frames: u64,
    /// Why it ended.
    pub reason: CloseReason,
}
