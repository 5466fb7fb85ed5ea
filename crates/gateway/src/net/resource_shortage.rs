//! Errors that report a temporary shortage on this machine (descriptors, memory, ports). They say nothing about the peer, so
//! the call is retried.
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The delay before a call that failed for a shortage is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether the error reports a lack of descriptors, memory or buffers.
pub fn is_shortage(error: &io::Error) -> bool {
    let Some(error) = Errno::from_io_error(error) else { return false };
    [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC].contains(&error)
}

/// Whether no local port was available for an outgoing connection.
pub fn is_port_shortage(error: &io::Error) -> bool {
    let Some(error) = Errno::from_io_error(error) else { return false };
    [Errno::ADDRNOTAVAIL, Errno::AGAIN].contains(&error)
}
