//! Why connections end.
use std::fmt;

/// Why a connection ended; the code on its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it.
    PeerClosed,
    /// It broke.
    Reset,
    /// What came can't be understood.
    Protocol,
    /// An attempt got no answer in time.
    Timeout,
    /// It did not come up, or not in time.
    ConnectFailed,
    /// It stood idle for long.
    Idle,
    /// Its chunk server drains, is gone or has started again.
    Drained,
    /// The program ends.
    Stopped,
    /// A bound was reached.
    Bound,
    /// Answers waited that the client did not read.
    Unread,
    /// A value that was being passed on could not be finished.
    Cut,
    /// Its work is done.
    Done,
    /// The watch was asked for anew.
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
