//! Fake backends: they log and apply the commands that they receive. A backend listens on an address of its
//! own for each gateway, and so knows which gateway sent a command.
mod execution;
mod iscsi_target;
mod model;
mod resp_server;
pub mod store;

use crate::runtime::{lock, reset_on_close, sleep, Clock, Spawner};
use async_io::Async;
use futures_lite::future;
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use iscsi_target::{target_name, unpad};
pub use model::{Answer, BackendConfig, Behavior, CommandRecord, Protocol};

pub(crate) struct State {
    behavior: Behavior,
    log: Vec<CommandRecord>,
    started: Option<Duration>,
    rng: SmallRng,
    running: usize,
    waiting: usize,
    /// Units served for a volume, in total and through each gateway, and the units of other gateways that
    /// each gateway was informed of.
    served: BTreeMap<String, u64>,
    per_gateway: BTreeMap<(String, String), (u64, u64)>,
    shutdown_sender: Option<async_channel::Sender<()>>,
}

pub(crate) struct Inner {
    config: BackendConfig,
    clock: Clock,
    spawner: Spawner,
    state: Mutex<State>,
}

/// A fake backend.
pub struct FakeBackend(Arc<Inner>);

impl FakeBackend {
    /// Starts a backend that is already warm.
    pub fn start(config: BackendConfig, clock: Clock, spawner: Spawner) -> io::Result<FakeBackend> {
        let state = State {
            behavior: Behavior::default(),
            log: Vec::new(),
            started: None,
            rng: SmallRng::seed_from_u64(config.seed),
            running: 0,
            waiting: 0,
            served: BTreeMap::new(),
            per_gateway: BTreeMap::new(),
            shutdown_sender: None,
        };
        let backend = FakeBackend(Arc::new(Inner { config, clock, spawner, state: Mutex::new(state) }));
        backend.listen()?;
        Ok(backend)
    }

    /// The configuration of the backend.
    pub fn config(&self) -> &BackendConfig {
        &self.0.config
    }

    /// Starts listening, unless it is listening already.
    pub fn listen(&self) -> io::Result<()> {
        let mut state = lock(&self.0.state);
        if state.shutdown_sender.is_some() {
            return Ok(());
        }
        let bind = |(gateway, at): (&String, &SocketAddr)| Ok((gateway.clone(), TcpListener::bind(at)?));
        let listeners: Vec<_> = self.0.config.listen_addresses.iter().map(bind).collect::<io::Result<_>>()?;
        let (shutdown_sender, shutdown) = async_channel::bounded(1);
        state.shutdown_sender = Some(shutdown_sender);
        (state.running, state.waiting) = (0, 0);
        for (gateway, listener) in listeners {
            let listener = Async::new(listener)?;
            self.0.spawner.spawn(accept_connections(self.0.clone(), gateway, listener, shutdown.clone()));
        }
        Ok(())
    }

    /// Resets all connections and refuses new ones.
    pub fn stop(&self) {
        lock(&self.0.state).shutdown_sender = None;
    }

    /// Restarts the backend cold, with its data or without.
    pub fn restart(&self, keep: bool) -> io::Result<()> {
        self.stop();
        if !keep {
            lock(&self.0.config.store).clear();
        }
        // A listener that was closed frees its address a little later.
        let end = std::time::Instant::now() + Duration::from_secs(2);
        while let Err(e) = self.listen() {
            if std::time::Instant::now() > end {
                return Err(e);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut state = lock(&self.0.state);
        state.started = Some(self.0.clock.now());
        state.served.clear();
        state.per_gateway.clear();
        Ok(())
    }

    /// Sets the behavior from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.0.state).behavior = behavior;
    }

    /// The current behavior.
    pub fn behavior(&self) -> Behavior {
        lock(&self.0.state).behavior.clone()
    }

    /// Time of the last restart; none if it has not been restarted.
    pub fn started(&self) -> Option<Duration> {
        lock(&self.0.state).started
    }

    /// All commands, in the order in which they were received.
    pub fn command_log(&self) -> Vec<CommandRecord> {
        lock(&self.0.state).log.clone()
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept_connections(
    inner: Arc<Inner>,
    gateway: String,
    listener: Async<TcpListener>,
    shutdown: async_channel::Receiver<()>,
) {
    loop {
        let next = future::or(
            async {
                let _ = shutdown.recv().await;
                None
            },
            async { Some(listener.accept().await) },
        );
        match next.await {
            None => return,
            Some(Err(_)) => sleep(Duration::from_millis(5)).await,
            Some(Ok((stream, _))) => {
                inner.spawner.spawn(serve_connection(
                    inner.clone(),
                    gateway.clone(),
                    stream,
                    shutdown.clone(),
                ));
            }
        }
    }
}

async fn serve_connection(
    inner: Arc<Inner>,
    gateway: String,
    stream: Async<TcpStream>,
    shutdown: async_channel::Receiver<()>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    if inner.config.protocol == Protocol::Iscsi {
        return iscsi_target::start(inner, gateway, stream, shutdown);
    }
    let ended = async {
        let _ = shutdown.recv().await;
        reset_on_close(stream.get_ref());
    };
    future::or(ended, resp_server::serve(&inner, &gateway, &stream)).await;
}
