//! The accept loop. Transient failures of `accept` are retried; no accepted connection is dropped.
use crate::net::socket::Socket;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The delay after an error of `accept`, and between checks whether another connection is allowed.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long pending connections are accepted at the end while `accept` keeps failing.
const FINAL_DRAIN: Duration = Duration::from_millis(200);

/// Whether the error concerns only a single connection, so that the next one can be accepted at once.
fn is_connection_error(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted)
}

/// Waits for the next connection.
async fn next_connection(listener: &Async<TcpListener>) -> (TcpStream, SocketAddr) {
    loop {
        match listener.get_ref().accept() {
            Ok(accepted) => return accepted,
            Err(error) if is_connection_error(&error) => future::yield_now().await,
            // If the reactor fails too, accept is retried after a delay.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if listener.readable().await.is_err() {
                    Timer::after(RETRY_DELAY).await;
                }
            }
            // Out of descriptors or memory: pending connections are accepted after a delay.
            Err(_) => drop(Timer::after(RETRY_DELAY).await),
        }
    }
}

/// Accepts connections until `shutdown` completes, then those that are still pending, and closes the listener.
///
/// Before each one, `evict` may close idle connections, and `has_slot` tells whether another is allowed. `on_accept` takes the connection.
/// Dropping the future closes the listener and resets pending connections.
pub async fn accept(
    listener: Async<TcpListener>,
    has_slot: impl Fn() -> bool,
    evict: impl AsyncFn(),
    mut on_accept: impl FnMut(Socket, SocketAddr),
    shutdown: impl AsyncFn(),
) {
    let mut shutdown = Box::pin(shutdown());
    loop {
        evict().await;
        while !has_slot() {
            Timer::after(RETRY_DELAY).await;
            evict().await;
        }
        let accepted = future::or(async { Some(next_connection(&listener).await) }, async {
            (&mut shutdown).await;
            None
        });
        let Some((stream, address)) = accepted.await else { break };
        on_accept(Socket::new(stream), address);
        // The new connection must be counted before the next `has_slot`.
        future::yield_now().await;
    }
    // Closing the listener resets pending connections, and the reactor may not have reported all of them: accept them first.
    let drain_end = Instant::now() + FINAL_DRAIN;
    loop {
        match listener.get_ref().accept() {
            Ok((stream, address)) => on_accept(Socket::new(stream), address),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) if is_connection_error(&error) => {}
            Err(_) if Instant::now() >= drain_end => return,
            Err(_) => drop(Timer::after(RETRY_DELAY).await),
        }
    }
}
