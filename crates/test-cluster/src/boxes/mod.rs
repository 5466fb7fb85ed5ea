//! Stand-in disk boxes: they log and apply what they get. Each front has a door of its own at each box, so that the box
//! knows who speaks.
mod blocks;
mod commands;
mod kinds;
pub mod store;
mod work;

use crate::engine::{lock, pause, reset_at_end, Clock, Spawner};
use async_io::Async;
use futures_lite::future;
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use blocks::{target_name, trimmed};
pub use kinds::{Answer, Entry, Make, Manner, Speaks};

pub(crate) struct State {
    manner: Manner,
    log: Vec<Entry>,
    started: Option<Duration>,
    rng: SmallRng,
    running: usize,
    waiting: usize,
    /// Units served for a volume in all, and through each front; what each front was told of the others'.
    served: BTreeMap<String, u64>,
    own: BTreeMap<(String, String), (u64, u64)>,
    life: Option<async_channel::Sender<()>>,
}

pub(crate) struct Inner {
    make: Make,
    clock: Clock,
    spawner: Spawner,
    state: Mutex<State>,
}

/// A box.
pub struct DiskBox(Arc<Inner>);

impl DiskBox {
    /// Starts a box that is warm.
    pub fn start(make: Make, clock: Clock, spawner: Spawner) -> io::Result<DiskBox> {
        let state = State {
            manner: Manner::default(),
            log: Vec::new(),
            started: None,
            rng: SmallRng::seed_from_u64(make.seed),
            running: 0,
            waiting: 0,
            served: BTreeMap::new(),
            own: BTreeMap::new(),
            life: None,
        };
        let made = DiskBox(Arc::new(Inner { make, clock, spawner, state: Mutex::new(state) }));
        made.up()?;
        Ok(made)
    }

    /// What it is made of.
    pub fn make(&self) -> &Make {
        &self.0.make
    }

    /// Listens again; nothing where it does.
    pub fn up(&self) -> io::Result<()> {
        let mut state = lock(&self.0.state);
        if state.life.is_some() {
            return Ok(());
        }
        let bind = |(front, at): (&String, &SocketAddr)| Ok((front.clone(), TcpListener::bind(at)?));
        let doors: Vec<_> = self.0.make.doors.iter().map(bind).collect::<io::Result<_>>()?;
        let (life, alive) = async_channel::bounded(1);
        state.life = Some(life);
        (state.running, state.waiting) = (0, 0);
        for (front, listener) in doors {
            let listener = Async::new(listener)?;
            self.0.spawner.spawn(door(self.0.clone(), front, listener, alive.clone()));
        }
        Ok(())
    }

    /// Resets all connections and refuses new ones.
    pub fn down(&self) {
        lock(&self.0.state).life = None;
    }

    /// Ends and starts again, cold; its data is kept or lost.
    pub fn restart(&self, keep: bool) -> io::Result<()> {
        self.down();
        if !keep {
            lock(&self.0.make.shelf).lose();
        }
        // What has closed leaves its address a little later.
        let end = std::time::Instant::now() + Duration::from_secs(2);
        while let Err(e) = self.up() {
            if std::time::Instant::now() > end {
                return Err(e);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut state = lock(&self.0.state);
        state.started = Some(self.0.clock.now());
        state.served.clear();
        state.own.clear();
        Ok(())
    }

    /// Sets how it acts, from now on.
    pub fn set(&self, manner: Manner) {
        lock(&self.0.state).manner = manner;
    }

    /// How it acts.
    pub fn manner(&self) -> Manner {
        lock(&self.0.state).manner.clone()
    }

    /// When it last started; none for a start before everything.
    pub fn started(&self) -> Option<Duration> {
        lock(&self.0.state).started
    }

    /// Everything that has come, in the order in which it came.
    pub fn log(&self) -> Vec<Entry> {
        lock(&self.0.state).log.clone()
    }
}

impl Drop for DiskBox {
    fn drop(&mut self) {
        self.down();
    }
}

async fn door(
    inner: Arc<Inner>,
    front: String,
    listener: Async<TcpListener>,
    alive: async_channel::Receiver<()>,
) {
    loop {
        let next = future::or(
            async {
                let _ = alive.recv().await;
                None
            },
            async { Some(listener.accept().await) },
        );
        match next.await {
            None => return,
            Some(Err(_)) => pause(Duration::from_millis(5)).await,
            Some(Ok((stream, _))) => {
                inner.spawner.spawn(connection(inner.clone(), front.clone(), stream, alive.clone()));
            }
        }
    }
}

async fn connection(
    inner: Arc<Inner>,
    front: String,
    stream: Async<TcpStream>,
    alive: async_channel::Receiver<()>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    if inner.make.speaks == Speaks::Iscsi {
        return blocks::start(inner, front, stream, alive);
    }
    let ended = async {
        let _ = alive.recv().await;
        reset_at_end(stream.get_ref());
    };
    future::or(ended, commands::serve(&inner, &front, &stream)).await;
}
