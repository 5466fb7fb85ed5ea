//! Where discovery listens.
use super::{serve, Inner};
use crate::engine::{lock, pause};
use async_io::Async;
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Connections that wait to be accepted: a whole fleet may come while the machine stands still.
const BACKLOG: i32 = 4096;
const AGAIN: Duration = Duration::from_millis(5);

/// Listens there.
pub(super) fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(at)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Async::new(listener)
}

/// Serves who comes, while doors are open.
pub(super) async fn run(inner: Arc<Inner>, front: String, at: SocketAddr, listener: Async<TcpListener>) {
    let mut listener = Some(listener);
    loop {
        let changed = inner.changed.listen();
        if lock(&inner.state).closed {
            listener = None;
            changed.await;
            continue;
        }
        let Some(open) = &listener else {
            listener = listen(at).ok();
            if listener.is_none() {
                pause(AGAIN).await;
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
                inner.spawner.spawn(serve::call(inner.clone(), front.clone(), stream));
            }
            Some(Err(_)) => pause(AGAIN).await,
            None => {}
        }
    }
}
