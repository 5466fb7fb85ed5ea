//! A TCP connection with a ring buffer for each direction, as a stream of socket events.
use crate::clock::Clock;
use crate::log::Seconds;
use crate::net::close_reason::CloseReason;
use crate::net::socket::Socket;
use futures_lite::{future, Stream, StreamExt};
use ring_buffer::RingBuffer;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Instant;

/// How often in a row a connection may report progress before its task has to yield. A peer that sends without pause, or a buffer of
/// the system that is always ready, would otherwise keep the thread from all other tasks, and from timers.
const MAX_EVENTS_PER_TURN: u32 = 8;

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
    /// Bytes that were received and are not consumed yet.
    pub input: RingBuffer,
    /// Bytes to be sent.
    pub output: RingBuffer,
    /// The number of bytes written to the socket.
    pub bytes_written: u64,
    /// The number of bytes read from the socket.
    pub bytes_read: u64,
    /// The number of commands or responses that were exchanged.
    pub exchange_count: u64,
    /// Why the connection is closed; logged when it is dropped.
    pub reason: CloseReason,
    is_at_end: bool,
    /// Events since the task last had to wait.
    events_in_turn: u32,
    opened_at: Instant,
}

impl Connection {
    /// Wraps an established socket. `capacities` are those of `input` and `output`, in bytes.
    pub fn new(
        socket: Socket,
        kind: &'static str,
        address: SocketAddr,
        capacities: (usize, usize),
    ) -> Connection {
        let (input, output) = (RingBuffer::new(capacities.0), RingBuffer::new(capacities.1));
        Connection {
            socket,
            kind,
            address,
            input,
            output,
            bytes_written: 0,
            bytes_read: 0,
            exchange_count: 0,
            reason: CloseReason::PeerClosed,
            is_at_end: false,
            events_in_turn: 0,
            opened_at: Instant::now(),
        }
    }

    /// Connects to `address`.
    ///
    /// # Errors
    /// The system's error if the connection can't be established. Dropping the future abandons the attempt.
    pub async fn connect(
        kind: &'static str,
        address: SocketAddr,
        capacities: (usize, usize),
    ) -> io::Result<Connection> {
        Ok(Connection::new(Socket::connect(address).await?, kind, address, capacities))
    }

    /// Lingering close: shuts down the sending side, then reads and discards until the peer closes. Closing a socket with unread
    /// bytes would reset it, and responses that the system still buffers would be lost.
    pub async fn lingering_close(&mut self) {
        if self.socket.shutdown_write().is_err() {
            return;
        }
        loop {
            // Discarded requests are not forwarded to a backend; the client repeats them on another connection.
            self.input.consume(usize::MAX);
            match self.next().await {
                Some(Ok(SocketEvent::Read)) => {}
                _ => return,
            }
        }
    }

    /// Whether the peer has closed the connection, even if bytes that it sent earlier are still unread.
    pub fn is_closed_by_peer(&self) -> bool {
        self.socket.is_closed_by_peer()
    }

    /// Whether nothing has arrived, neither bytes nor the end of the stream.
    pub async fn is_quiet(&mut self) -> bool {
        // One look is no turn: it must not be put off.
        self.events_in_turn = 0;
        future::poll_once(self.next()).await.is_none()
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<SocketEvent>> {
        match self.poll_write_output(cx) {
            Poll::Ready(Ok(true)) => return Poll::Ready(Ok(SocketEvent::Wrote)),
            Poll::Ready(Ok(false)) | Poll::Pending => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
        }
        if self.is_at_end || self.input.remaining() == 0 {
            return Poll::Pending;
        }
        let count = ready!(self.socket.poll_read(cx, self.input.unfilled()))?;
        if count == 0 {
            self.is_at_end = true;
            return Poll::Ready(Ok(SocketEvent::End));
        }
        self.input.commit(count);
        self.bytes_read += count as u64;
        Poll::Ready(Ok(SocketEvent::Read))
    }

    /// Writes the output as far as the system accepts it. Ready once nothing is left, with whether anything was written.
    fn poll_write_output(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut has_written = false;
        while !self.output.is_empty() {
            match ready!(self.socket.poll_write(cx, self.output.first_slice()))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                count => {
                    self.output.consume(count);
                    self.bytes_written += count as u64;
                    has_written = true;
                }
            }
        }
        Poll::Ready(Ok(has_written))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        crate::log::line(format_args!(
            "conn kind={} peer={} at={} open_ms={} read={} written={} carried={} reason={}",
            self.kind,
            self.address,
            Seconds(Clock::start().now()),
            self.opened_at.elapsed().as_millis(),
            self.bytes_read,
            self.bytes_written,
            self.exchange_count,
            self.reason
        ));
    }
}

impl Stream for Connection {
    type Item = io::Result<SocketEvent>;

    /// The next progress. Every [`MAX_EVENTS_PER_TURN`] events it is pending once, so that other tasks run, whatever the peer sends.
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.events_in_turn >= MAX_EVENTS_PER_TURN {
            this.events_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let event = this.poll_event(cx);
        this.events_in_turn = if event.is_ready() { this.events_in_turn + 1 } else { 0 };
        event.map(Some)
    }
}
