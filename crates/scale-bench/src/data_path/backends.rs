//! Stub backends: each answers every read after a fixed time, over RESP, with a thread for each connection.
use crate::Error;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, Builder, JoinHandle};
use std::time::Duration;

/// Size of the value in each reply.
const VALUE_BYTES: usize = 64;
/// Stack size of a connection's thread.
pub(super) const STACK_BYTES: usize = 128 << 10;

/// A listening stub backend; it stops accepting when dropped.
pub struct StubBackend {
    /// The address at which it listens.
    pub address: SocketAddr,
    served_reads: Arc<AtomicU64>,
    opened_connections: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
    accept_thread: Option<JoinHandle<()>>,
}

impl StubBackend {
    /// Starts a backend that takes `service_time` for each read.
    pub fn start(service_time: Duration) -> Result<StubBackend, Error> {
        let to_error = Error::io("loopback");
        let listen = || {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            Ok((listener.local_addr()?, listener))
        };
        let (address, listener) = listen().map_err(to_error)?;
        let (served_reads, opened_connections) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let closed = Arc::<AtomicBool>::default();
        let (served_count, opened_count, is_closed) =
            (served_reads.clone(), opened_connections.clone(), closed.clone());
        let accept_thread = Builder::new().spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if is_closed.load(Ordering::Relaxed) {
                    return;
                }
                opened_count.fetch_add(1, Ordering::Relaxed);
                let served = served_count.clone();
                let spawned = Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || serve(stream, service_time, &served));
                if let Err(e) = spawned {
                    tracing::warn!("cannot serve a connection of a stub backend: {e}");
                }
            }
        });
        let accept_thread = Some(accept_thread.map_err(Error::io("a thread"))?);
        Ok(StubBackend { address, served_reads, opened_connections, closed, accept_thread })
    }

    /// The number of reads answered.
    pub fn served_reads(&self) -> u64 {
        self.served_reads.load(Ordering::Relaxed)
    }

    /// The number of connections that the gateway has opened.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections.load(Ordering::Relaxed)
    }
}

impl Drop for StubBackend {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        // Wakes the accept thread, which then checks the flag.
        drop(TcpStream::connect(self.address));
        self.accept_thread.take().map(JoinHandle::join);
    }
}

/// Serves a connection until the gateway closes it.
fn serve(mut stream: TcpStream, service_time: Duration, served: &AtomicU64) {
    let (mut received, mut bytes) = (Vec::new(), [0; 4096]);
    let mut reply = b"*3\r\n".to_vec();
    resp::write_bulk(&mut reply, &[b'v'; VALUE_BYTES]);
    resp::write_bulk(&mut reply, b"used=1");
    reply.extend_from_slice(b"$-1\r\n");
    let _ = stream.set_nodelay(true);
    loop {
        match resp::command(&received) {
            Ok(Some((args, consumed))) => {
                let is_read = args.first().is_some_and(|verb| verb.eq_ignore_ascii_case(b"PREAD"));
                if is_read && !service_time.is_zero() {
                    sleep(service_time);
                }
                served.fetch_add(u64::from(is_read), Ordering::Relaxed);
                received.drain(..consumed);
                if stream.write_all(if is_read { &reply } else { b"+PONG\r\n" }).is_err() {
                    return;
                }
            }
            Ok(None) => match stream.read(&mut bytes) {
                Ok(count) if count > 0 => received.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            },
            Err(_) => return,
        }
    }
}
