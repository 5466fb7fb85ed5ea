//! A TCP connection with a ring buffer for each direction, as a stream of socket events.
use crate::net::close_reason::CloseReason;
use crate::net::socket::Socket;
use futures_lite::{Stream, StreamExt};
use ring_buffer::RingBuffer;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Progress on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// Bytes were read into `input`.
    Read,
    /// All of `output` was written.
    Wrote,
    /// The peer has shut down its sending side.
    End,
}

/// A connection. Dropping it closes the socket and logs one line with the last value of `reason`.
pub struct Connection {
    socket: Socket,
    kind: &'static str,
    address: SocketAddr,
    /// Bytes that were received and not consumed.
    pub input: RingBuffer,
    /// Bytes to be sent.
    pub output: RingBuffer,
    /// Bytes written to the socket.
    pub written: u64,
    /// Bytes read from the socket.
    pub read: u64,
    /// Commands or responses that were exchanged.
    pub carried: u64,
    /// Logged when the connection is dropped.
    pub reason: CloseReason,
    ended: bool,
}

impl Connection {
    /// Wraps an established socket. `bounds` are the capacities of `input` and `output` in bytes.
    pub fn new(
        socket: Socket,
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> Connection {
        let (input, output) = (RingBuffer::new(bounds.0), RingBuffer::new(bounds.1));
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

    /// Connects to `address`.
    ///
    /// # Errors
    /// The system's error where the connection can't be established. Dropping the future abandons the attempt.
    pub async fn connect(
        kind: &'static str,
        address: SocketAddr,
        bounds: (usize, usize),
    ) -> io::Result<Connection> {
        Ok(Connection::new(Socket::connect(address).await?, kind, address, bounds))
    }

    /// Lingering close: shuts down the sending side, then reads and discards until the peer closes. Closing a socket with unread
    /// bytes resets it, and responses that the system still buffers would be lost.
    pub async fn lingering_close(&mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        loop {
            // Discarded requests are not forwarded: the client repeats them on another connection.
            self.input.consume(usize::MAX);
            match self.next().await {
                Some(Ok(SocketEvent::Read)) => {}
                _ => return,
            }
        }
    }

    /// Whether the peer has closed, even while bytes that it sent before are unread.
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
            match this.socket.poll_write(cx, this.output.first_slice()) {
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
        if !this.ended && this.input.remaining() > 0 {
            match this.socket.poll_read(cx, this.input.unfilled()) {
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
