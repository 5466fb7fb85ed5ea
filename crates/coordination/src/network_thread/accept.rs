//! Accepts connections, up to a maximum number of open ones.
use crate::network_thread::close_reason::ConnectionEnd;
use crate::network_thread::counters::{increment, LinkCounters};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The pause after an error of the listener, such as a shortage of file descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// The parameters of accepting connections.
pub(crate) struct Acceptor {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) listener: Async<TcpListener>,
    pub(crate) counters: Arc<LinkCounters>,
    /// The maximum number of open connections.
    pub(crate) max_connections: usize,
    /// The kind of the connections, for the log.
    pub(crate) kind: &'static str,
    /// Writes a log line.
    pub(crate) log: fn(&str),
}

/// Accepts connections without end. When a connection ends, logs the number of frames received on it and the reason.
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
        // Bounds the file descriptors and memory that peers can consume by connecting alone.
        if open_connections.get() >= max_connections {
            increment(&counters.rejected_connections);
            // Lets other tasks run, however fast connections come.
            future::yield_now().await;
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
