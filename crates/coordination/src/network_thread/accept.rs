//! Accepting connections, at most so many at once.
use crate::network_thread::close_reason::ConnectionEnd;
use crate::network_thread::counters::{increment, LinkCounters};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::Cell;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The pause after an error of the listener, such as a shortage of file descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// What accepting connections needs.
pub(crate) struct Acceptor {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) listener: Async<TcpListener>,
    pub(crate) counters: Arc<LinkCounters>,
    /// The most connections that are open at once.
    pub(crate) max_connections: usize,
    /// The kind of the connections, for the log.
    pub(crate) kind: &'static str,
    /// Writes a line of the log.
    pub(crate) log: fn(&str),
}

/// Accepts connections for ever. Logs of each, once it has ended, how many frames arrived on it and why it ended.
pub(crate) async fn accept_connections<F: Future<Output = ConnectionEnd> + 'static>(
    acceptor: Acceptor,
    serve: impl Fn(Async<TcpStream>) -> F,
) {
    let Acceptor { executor, listener, counters, max_connections, kind, log } = acceptor;
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ERROR_PAUSE).await;
            continue;
        };
        // Guards file descriptors and memory against peers that only connect.
        if open_connections.get() >= max_connections {
            increment(&counters.rejected_connections);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (connection, open_connections) = (serve(stream), open_connections.clone());
        let serving = async move {
            let ConnectionEnd { frames, reason } = connection.await;
            open_connections.set(open_connections.get() - 1);
            log(&format!("conn kind={kind} peer={peer} carried={frames} reason={reason}"));
        };
        executor.spawn(serving).detach();
    }
}
