//! Listeners of discovery.
use super::{connections, Inner};
use crate::runtime::{lock, sleep};
use async_io::Async;
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Limit on connections that wait to be accepted: a whole fleet may connect while the machine stalls.
const BACKLOG: i32 = 4096;
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Binds a listener.
pub(super) fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(at)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// Accepts and serves connections while discovery is not closed.
pub(super) async fn run(inner: Arc<Inner>, gateway: String, at: SocketAddr, listener: Async<TcpListener>) {
    let mut listener = Some(listener);
    loop {
        let changed = inner.changed.listen();
        if lock(&inner.state).is_closed {
            listener = None;
            changed.await;
            continue;
        }
        let Some(open) = &listener else {
            listener = listen(at).ok();
            if listener.is_none() {
                sleep(RETRY_DELAY).await;
            }
            continue;
        };
        let changed = async {
            changed.await;
            None
        };
        match future::or(changed, async { Some(open.accept().await) }).await {
            Some(Ok((stream, _))) => {
                let _ = stream.get_ref().set_nodelay(true);
                inner.spawner.spawn(connections::handle(inner.clone(), gateway.clone(), stream));
            }
            Some(Err(_)) => sleep(RETRY_DELAY).await,
            None => {}
        }
    }
}
