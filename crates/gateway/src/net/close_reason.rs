//! Reason codes of closed connections, as logged.
use std::fmt;

/// Why a connection was closed; its `Display` is the code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it.
    PeerClosed,
    /// It was reset.
    Reset,
    /// The peer violated the protocol.
    Protocol,
    /// A backend did not answer within the attempt's deadline.
    Timeout,
    /// It could not be established, or not in time.
    ConnectFailed,
    /// It was idle for too long.
    Idle,
    /// Its backend is draining, has left or was restarted.
    Drained,
    /// The process is shutting down.
    Stopped,
    /// A resource limit was reached.
    Bound,
    /// The peer did not read responses in time.
    Unread,
    /// A streamed value could not be completed.
    Cut,
    /// Its one exchange is complete.
    Done,
    /// A newer watch replaced it.
    Replaced,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::PeerClosed => "peer-closed",
            CloseReason::Reset => "reset",
            CloseReason::Protocol => "protocol",
            CloseReason::Timeout => "timeout",
            CloseReason::ConnectFailed => "connect-failed",
            CloseReason::Idle => "idle",
            CloseReason::Drained => "drained",
            CloseReason::Stopped => "stopped",
            CloseReason::Bound => "bound",
            CloseReason::Unread => "unread",
            CloseReason::Cut => "cut",
            CloseReason::Done => "done",
            CloseReason::Replaced => "replaced",
        })
    }
}
