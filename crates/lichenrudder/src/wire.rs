//! A connection: a stream of what happens on it, with one ring buffer a direction.
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, Stream, StreamExt};
use ring::Ring;
use rustix::event::{PollFd, PollFlags, Timespec};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// How long accepting waits where it can't go on.
const PAUSE: Duration = Duration::from_millis(5);

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moved {
    /// Bytes came into `input`.
    Read,
    /// All of `output` was written.
    Wrote,
    /// The other side has ended its sending.
    End,
}

/// Why a connection ended; the code on its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
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
    /// Its disk box drains, is gone or has started again.
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

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::PeerClosed => "peer-closed",
            Reason::Reset => "reset",
            Reason::Protocol => "protocol",
            Reason::Timeout => "timeout",
            Reason::ConnectFailed => "connect-failed",
            Reason::Idle => "idle",
            Reason::Drained => "drained",
            Reason::Stopped => "stopped",
            Reason::Bound => "bound",
            Reason::Unread => "unread",
            Reason::Cut => "cut",
            Reason::Done => "done",
            Reason::Replaced => "replaced",
        })
    }
}

/// The connection. It logs its end, with the reason that was set last.
pub struct Wire {
    stream: Async<TcpStream>,
    kind: &'static str,
    address: SocketAddr,
    /// What has come and is not used up.
    pub input: Ring,
    /// What is to be written.
    pub output: Ring,
    /// Bytes that it has written.
    pub written: u64,
    /// Commands or answers that it carried.
    pub carried: u64,
    /// The reason for its end.
    pub reason: Reason,
    ended: bool,
}

impl Wire {
    /// A connection that is up.
    pub fn new(
        stream: Async<TcpStream>,
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> Wire {
        // Without this a command's last bytes may wait for an acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        let (input, output) = (Ring::new(bounds.0), Ring::new(bounds.1));
        Wire {
            stream,
            kind,
            address,
            input,
            output,
            written: 0,
            carried: 0,
            reason: Reason::PeerClosed,
            ended: false,
        }
    }

    /// Opens a connection.
    pub async fn connect(
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> io::Result<Wire> {
        let stream = Async::<TcpStream>::connect(address).await?;
        Ok(Wire::new(stream, kind, address, bounds))
    }

    /// Shuts the sending and reads on, to no end, until the other side has closed. Guards answers on their way: a close over
    /// bytes that were not read resets the connection, and what the system still holds goes with it.
    pub async fn farewell(&mut self) {
        if self.stream.get_ref().shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        loop {
            // What comes now is not understood, and so not sent on: its client sends it again on another connection.
            self.input.consume(usize::MAX);
            match self.next().await {
                Some(Ok(Moved::Read)) => {}
                _ => return,
            }
        }
    }

    /// Whether the other side has closed, though what it sent before may not be read yet.
    pub fn hung_up(&self) -> bool {
        let mut look = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A look that fails tells nothing.
        rustix::event::poll(&mut look, Some(&now)).is_ok() && !look[0].revents().is_empty()
    }
}

/// Accepts connections until the program ends, each time after `room` was made and `may` allows one more.
pub async fn accept(
    listener: Async<TcpListener>,
    may: impl Fn() -> bool,
    room: impl AsyncFn(),
    mut take: impl FnMut(Async<TcpStream>, SocketAddr),
    over: impl AsyncFn(),
) {
    let mut incoming = Box::pin(listener.incoming());
    let mut over = Box::pin(over());
    loop {
        room().await;
        while !may() {
            Timer::after(PAUSE).await;
            room().await;
        }
        let next = futures_lite::future::or(async { Some(incoming.next().await) }, async {
            (&mut over).await;
            None
        });
        let Some(next) = next.await else { break };
        match next {
            Some(Ok(stream)) => {
                if let Ok(address) = stream.get_ref().peer_addr() {
                    take(stream, address);
                    // Guards the bounds: it must be counted before the next one asks whether there is room.
                    futures_lite::future::yield_now().await;
                }
            }
            // Out of descriptors: what waits will be accepted a little later.
            Some(Err(_)) => {
                Timer::after(PAUSE).await;
            }
            None => return,
        }
    }
    // Guards those that have connected, of whom the reactor may not have told yet: all are taken in, and the listener
    // closes at once.
    while let Ok((stream, address)) = listener.get_ref().accept() {
        if let Ok(stream) = Async::new(stream) {
            take(stream, address);
        }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        crate::log::line(format_args!(
            "conn kind={} peer={} carried={} reason={}",
            self.kind, self.address, self.carried, self.reason
        ));
    }
}

impl Stream for Wire {
    type Item = io::Result<Moved>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let mut wrote = false;
        while !this.output.is_empty() {
            match Pin::new(&mut this.stream).poll_write(cx, this.output.front()) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Some(Err(io::ErrorKind::WriteZero.into()))),
                Poll::Ready(Ok(count)) => {
                    this.output.consume(count);
                    this.written += count as u64;
                    wrote = true;
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
                Poll::Pending => break,
            }
        }
        if wrote && this.output.is_empty() {
            return Poll::Ready(Some(Ok(Moved::Wrote)));
        }
        if !this.ended && this.input.room() > 0 {
            match Pin::new(&mut this.stream).poll_read(cx, this.input.space()) {
                Poll::Ready(Ok(0)) => {
                    this.ended = true;
                    return Poll::Ready(Some(Ok(Moved::End)));
                }
                Poll::Ready(Ok(count)) => {
                    this.input.commit(count);
                    return Poll::Ready(Some(Ok(Moved::Read)));
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
                Poll::Pending => {}
            }
        }
        Poll::Pending
    }
}
