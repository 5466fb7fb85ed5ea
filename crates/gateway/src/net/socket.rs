//! A non-blocking TCP stream registered with the reactor. Interrupted calls and failed registrations are retried, since
//! neither is a failure of the connection.
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::future::Future;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// The delay before a failed registration is retried.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy)]
enum Direction {
    Read,
    Write,
}

/// A TCP stream.
pub struct Socket {
    stream: Arc<TcpStream>,
    /// The registration with the reactor; `None` while registration fails.
    registered: Option<Async<Arc<TcpStream>>>,
    retry: Timer,
}

impl Socket {
    /// Registers a stream.
    pub fn new(stream: TcpStream) -> Socket {
        let stream = Arc::new(stream);
        // Both can only fail on a socket that is broken already, which the first read reports.
        // Without TCP_NODELAY the last bytes of a command may be delayed until an acknowledgement arrives.
        drop(stream.set_nodelay(true));
        drop(stream.set_nonblocking(true));
        let registered = Async::new_nonblocking(stream.clone()).ok();
        Socket { stream, registered, retry: Timer::after(REGISTRATION_RETRY_DELAY) }
    }

    /// Connects to `address`. Dropping the future abandons the connection.
    ///
    /// # Errors
    /// The error of the first system call that failed.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
        match net::connect(&socket, &address) {
            // An interrupted connect continues in the background.
            Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        let mut socket = Socket::new(TcpStream::from(socket));
        future::poll_fn(|cx| socket.poll_ready(Direction::Write, cx)).await;
        match socket.stream.take_error()? {
            None => Ok(socket),
            Some(error) => Err(error),
        }
    }

    /// Reads at least one byte; returns 0 at the end of the stream.
    pub fn poll_read(&mut self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        self.poll_call(Direction::Read, cx, |mut stream| stream.read(buffer))
    }

    /// Writes as many bytes as the system accepts.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_call(Direction::Write, cx, |mut stream| stream.write(bytes))
    }

    /// Shuts down the sending side.
    ///
    /// # Errors
    /// The system's error, usually because the socket is no longer connected.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Whether the peer has closed the connection, even if bytes that it sent earlier are still unread.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut poll_fds = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A failed poll says nothing about the peer.
        rustix::event::poll(&mut poll_fds, Some(&no_wait)).is_ok() && !poll_fds[0].revents().is_empty()
    }

    fn poll_call(
        &mut self,
        direction: Direction,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match call(&self.stream) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
            ready!(self.poll_ready(direction, cx));
        }
    }

    /// Waits until the reactor reports readiness; registers the stream again if the reactor fails.
    fn poll_ready(&mut self, direction: Direction, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = self.registered.as_ref().map(|registered| match direction {
                Direction::Read => registered.poll_readable(cx),
                Direction::Write => registered.poll_writable(cx),
            });
            match ready {
                Some(Poll::Pending) => return Poll::Pending,
                Some(Poll::Ready(Ok(()))) => return Poll::Ready(()),
                Some(Poll::Ready(Err(_))) => {
                    self.registered = None;
                    self.retry.set_after(REGISTRATION_RETRY_DELAY);
                }
                None => {}
            }
            ready!(Pin::new(&mut self.retry).poll(cx));
            self.registered = Async::new_nonblocking(self.stream.clone()).ok();
            self.retry.set_after(REGISTRATION_RETRY_DELAY);
        }
    }
}
