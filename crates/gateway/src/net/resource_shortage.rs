//! What this machine may lack for a moment: descriptors, memory, ports. Such an error says nothing of the other side, and the
//! call is made again a little later.
use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// How long a call waits for its next try.
pub const RETRY: Duration = Duration::from_millis(10);

/// Whether the error says that the machine lacks something.
pub fn is_shortage(error: &io::Error) -> bool {
    let Some(error) = Errno::from_io_error(error) else { return false };
    [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC].contains(&error)
}

/// Whether no local port could be had for a connection.
pub fn no_port(error: &io::Error) -> bool {
    let Some(error) = Errno::from_io_error(error) else { return false };
    [Errno::ADDRNOTAVAIL, Errno::AGAIN].contains(&error)
}
