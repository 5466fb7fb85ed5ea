//! Accepting connections. What the system refuses for a moment is tried again; no connection that it has accepted is given up.
use crate::net::socket::Socket;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long accepting waits where it can't go on.
const PAUSE: Duration = Duration::from_millis(5);
/// How long the last look goes on where the system refuses to accept those that have connected.
const LAST_LOOK: Duration = Duration::from_millis(200);

/// Whether the error is that of one connection, and the next can be accepted at once.
fn concerns_one(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted)
}

/// The next connection.
async fn next(listener: &Async<TcpListener>) -> (TcpStream, SocketAddr) {
    loop {
        match listener.get_ref().accept() {
            Ok(accepted) => return accepted,
            Err(error) if concerns_one(&error) => future::yield_now().await,
            // The reactor may fail, too; then it is looked again a little later.
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if listener.readable().await.is_err() {
                    Timer::after(PAUSE).await;
                }
            }
            // Out of descriptors or memory: what waits will be accepted a little later.
            Err(_) => drop(Timer::after(PAUSE).await),
        }
    }
}

/// Accepts connections until `over`, each time after `room` was made and `may` allows one more.
pub async fn accept(
    listener: Async<TcpListener>,
    may: impl Fn() -> bool,
    room: impl AsyncFn(),
    mut take: impl FnMut(Socket, SocketAddr),
    over: impl AsyncFn(),
) {
    let mut over = Box::pin(over());
    loop {
        room().await;
        while !may() {
            Timer::after(PAUSE).await;
            room().await;
        }
        let accepted = future::or(async { Some(next(&listener).await) }, async {
            (&mut over).await;
            None
        });
        let Some((stream, address)) = accepted.await else { break };
        take(Socket::new(stream), address);
        // Invariant: it is counted before the next one asks whether there is room.
        future::yield_now().await;
    }
    // Prevents resets of those that have connected, of whom the reactor may not have told yet: all are taken in, and the
    // listener closes at once.
    let end = Instant::now() + LAST_LOOK;
    loop {
        match listener.get_ref().accept() {
            Ok((stream, address)) => take(Socket::new(stream), address),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) if concerns_one(&error) => {}
            Err(_) if Instant::now() >= end => return,
            Err(_) => drop(Timer::after(PAUSE).await),
        }
    }
}
