//! Stand-in boxes: each answers every read after a fixed time, over RESP, with a thread for each connection.
use crate::Error;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, Builder, JoinHandle};
use std::time::Duration;

/// The bytes of a value.
const VALUE: usize = 64;
/// The stack of a connection's thread.
pub(super) const STACK: usize = 128 << 10;

/// A box that listens; it closes its door when dropped.
pub struct StandIn {
    /// Where it listens.
    pub at: SocketAddr,
    served: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
    door: Option<JoinHandle<()>>,
}

impl StandIn {
    /// Opens a box that takes so long for each read.
    pub fn open(takes: Duration) -> Result<StandIn, Error> {
        let fault = Error::io("loopback");
        let bind = || {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            Ok((listener.local_addr()?, listener))
        };
        let (at, listener) = bind().map_err(fault)?;
        let (served, opened) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let closed = Arc::<AtomicBool>::default();
        let (counts, opens, ends) = (served.clone(), opened.clone(), closed.clone());
        let door = Builder::new().spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                opens.fetch_add(1, Ordering::Relaxed);
                let served = counts.clone();
                let serving = Builder::new().stack_size(STACK).spawn(move || serve(stream, takes, &served));
                if let Err(e) = serving {
                    tracing::warn!("a connection of a box is not served: {e}");
                }
            }
        });
        let door = Some(door.map_err(Error::io("a thread"))?);
        Ok(StandIn { at, served, opened, closed, door })
    }

    /// How many reads it has answered.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// How many connections the front has opened to it.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        // Wakes the door, which looks then.
        drop(TcpStream::connect(self.at));
        self.door.take().map(JoinHandle::join);
    }
}

/// Answers until the front closes the connection.
fn serve(mut stream: TcpStream, takes: Duration, served: &AtomicU64) {
    let (mut came, mut bytes) = (Vec::new(), [0; 4096]);
    let mut reply = b"*3\r\n".to_vec();
    resp::write_bulk(&mut reply, &[b'v'; VALUE]);
    resp::write_bulk(&mut reply, b"used=1");
    reply.extend_from_slice(b"$-1\r\n");
    let _ = stream.set_nodelay(true);
    loop {
        match resp::command(&came) {
            Ok(Some((words, used))) => {
                let read = words.first().is_some_and(|verb| verb.eq_ignore_ascii_case(b"PREAD"));
                if read && !takes.is_zero() {
                    sleep(takes);
                }
                served.fetch_add(u64::from(read), Ordering::Relaxed);
                came.drain(..used);
                if stream.write_all(if read { &reply } else { b"+PONG\r\n" }).is_err() {
                    return;
                }
            }
            Ok(None) => match stream.read(&mut bytes) {
                Ok(count) if count > 0 => came.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            },
            Err(_) => return,
        }
    }
}
