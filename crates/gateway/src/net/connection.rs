//! A connection: a stream of what happens on it, with one ring buffer a direction.
use crate::net::close_reason::CloseReason;
use crate::net::socket::Socket;
use futures_lite::{Stream, StreamExt};
use ring_buffer::Ring;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// Bytes came into `input`.
    Read,
    /// All of `output` was written.
    Wrote,
    /// The other side has ended its sending.
    End,
}

/// The connection. It logs its end, with the reason that was set last.
pub struct Connection {
    socket: Socket,
    kind: &'static str,
    address: SocketAddr,
    /// What has come and is not used up.
    pub input: Ring,
    /// What is to be written.
    pub output: Ring,
    /// Bytes that it has written, and read.
    pub written: u64,
    pub read: u64,
    /// Commands or answers that it carried.
    pub carried: u64,
    /// The reason for its end.
    pub reason: CloseReason,
    ended: bool,
}

impl Connection {
    /// A connection that is up.
    pub fn new(
        socket: Socket,
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> Connection {
        let (input, output) = (Ring::new(bounds.0), Ring::new(bounds.1));
        Connection {
            socket,
            kind,
            address,
            input,
            output,
            written: 0,
            read: 0,
            carried: 0,
            reason: CloseReason::PeerClosed,
            ended: false,
        }
    }

    /// Opens a connection.
    pub async fn connect(
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> io::Result<Connection> {
        Ok(Connection::new(Socket::connect(address).await?, kind, address, bounds))
    }

    /// Shuts the sending and reads on, to no end, until the other side has closed. Prevents the loss of answers on their way: a close over
    /// bytes that were not read resets the connection, and what the system still holds goes with it.
    pub async fn lingering_close(&mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        loop {
            // What comes now is not understood, and so not sent on: its client sends it again on another connection.
            self.input.consume(usize::MAX);
            match self.next().await {
                Some(Ok(SocketEvent::Read)) => {}
                _ => return,
            }
        }
    }

    /// Whether the other side has closed, though what it sent before may not be read yet.
    pub fn hung_up(&self) -> bool {
        self.socket.hung_up()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        crate::log::line(format_args!(
            "conn kind={} peer={} carried={} reason={}",
            self.kind, self.address, self.carried, self.reason
        ));
    }
}

impl Stream for Connection {
    type Item = io::Result<SocketEvent>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let mut wrote = false;
        while !this.output.is_empty() {
            match this.socket.poll_write(cx, this.output.front()) {
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
            return Poll::Ready(Some(Ok(SocketEvent::Wrote)));
        }
        if !this.ended && this.input.room() > 0 {
            match this.socket.poll_read(cx, this.input.space()) {
                Poll::Ready(Ok(0)) => {
                    this.ended = true;
                    return Poll::Ready(Some(Ok(SocketEvent::End)));
                }
                Poll::Ready(Ok(count)) => {
                    this.input.commit(count);
                    this.read += count as u64;
                    return Poll::Ready(Some(Ok(SocketEvent::Read)));
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
                Poll::Pending => {}
            }
        }
        Poll::Pending
    }
}
