//! Opens listeners and signal handlers. Shortages of system resources at startup are retried.
use crate::net::resource_shortage::{is_shortage, RETRY_DELAY};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// How long a shortage is retried before startup fails.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether another process may listen at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSharing {
    /// Only this process may.
    Exclusive,
    /// Another process of this gateway may too (`SO_REUSEPORT`).
    WithOtherProcess,
}

/// A listener could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("{key}: cannot listen on {address}: {source}")]
pub struct ListenError {
    key: String,
    address: SocketAddr,
    source: io::Error,
}

/// Opens a listener for the configuration key `key`.
///
/// # Errors
/// [`ListenError`], which names the key and the address.
pub async fn bind(
    key: &str,
    address: SocketAddr,
    sharing: AddressSharing,
) -> Result<Async<TcpListener>, ListenError> {
    let listener = retry_shortage(|| open_listener(address, sharing)).await;
    listener.map_err(|source| ListenError { key: key.to_owned(), address, source })
}

fn open_listener(address: SocketAddr, sharing: AddressSharing) -> io::Result<Async<TcpListener>> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    if sharing == AddressSharing::WithOtherProcess {
        sockopt::set_socket_reuseport(&socket, true)?;
    }
    net::bind(&socket, &address)?;
    net::listen(&socket, BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Subscribes to the signals that the gateway handles.
///
/// # Errors
/// The system's error if the signals can't be handled.
pub async fn subscribe_signals() -> io::Result<Signals> {
    let handled_signals = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    retry_shortage(|| Signals::new(handled_signals)).await
}

/// Repeats a call while it fails for lack of system resources.
async fn retry_shortage<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let retry_end = Instant::now() + SHORTAGE_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_shortage(&error) && Instant::now() < retry_end => {
                Timer::after(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
