//! The listeners of the program, and its signals: what they need from the system may be short for a moment at the start.
use crate::net::resource_shortage::{is_shortage, RETRY};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// A shortage that lasts longer ends the start.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Who else may listen at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSharing {
    /// Nobody.
    Exclusive,
    /// Another process of this front.
    WithOtherProcess,
}

/// Listens; an error names the key of the configuration.
pub async fn bind(
    key: &str,
    address: SocketAddr,
    sharing: AddressSharing,
) -> Result<Async<TcpListener>, String> {
    let listener = once_there_is(|| listen(address, sharing)).await;
    listener.map_err(|e| format!("{key}: cannot listen on {address}: {e}"))
}

fn listen(address: SocketAddr, sharing: AddressSharing) -> io::Result<Async<TcpListener>> {
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

/// The signals that the program follows.
pub async fn signals() -> Result<Signals, String> {
    let followed = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    once_there_is(|| Signals::new(followed)).await.map_err(|e| e.to_string())
}

/// Makes a call until the machine has what it needs.
async fn once_there_is<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let end = Instant::now() + TIMEOUT;
    loop {
        match call() {
            Err(error) if is_shortage(&error) && Instant::now() < end => drop(Timer::after(RETRY).await),
            done => return done,
        }
    }
}
