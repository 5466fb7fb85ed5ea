//! A fake discovery service with the list of backends and watches over HTTP. It listens on an address of its
//! own for each gateway.
mod calls;
mod connections;
mod listeners;
mod queue;
mod updates;

pub use calls::{Call, Outcome};
pub use queue::{QueuePolicy, RejectionTiming};

use crate::runtime::{lock, Clock, Spawner};
use event_listener::Event;
use queue::Queue;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The lifecycle of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// It accepts requests.
    Active,
    /// It finishes its requests and accepts no new ones.
    Leaving,
    /// It is gone.
    Left,
}

/// A backend on the list.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The shard that it holds.
    pub shard: i64,
    /// `resp` or `iscsi`.
    pub protocol: &'static str,
    /// Name of its target, for iSCSI.
    pub target: String,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// Time of its last start in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// Its address as seen by each gateway.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// How discovery behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It works.
    #[default]
    Normal,
    /// Connections are accepted, and nothing is sent.
    Silent,
    /// Calls are answered 503; watches end.
    Unavailable,
    /// Watches and calls are reset.
    Down,
}

/// An update that was sent to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentUpdate {
    /// Its sequence number.
    pub sequence: u64,
    /// Time at which its last byte was written.
    pub at: Duration,
    /// The gateway.
    pub gateway: String,
    /// The generation of the list.
    pub generation: u64,
    /// Whether it was the full list, so that backends that it does not name are gone.
    pub is_full_list: bool,
    /// The backends that it named, with their lifecycles.
    pub backends: Vec<(String, Lifecycle)>,
}

struct State {
    mode: Mode,
    generation: u64,
    /// Each backend with the generation that changed it last.
    backends: BTreeMap<String, (u64, ListedBackend)>,
    sent_updates: Vec<SentUpdate>,
    calls: Vec<Call>,
    /// Whether all listeners are closed.
    is_closed: bool,
}

struct Inner {
    clock: Clock,
    spawner: Spawner,
    state: Mutex<State>,
    /// Notified when the list or the mode changes.
    changed: Event,
    queue: Mutex<Queue>,
    /// Notified when a call joins the queue.
    joined: Event,
}

/// The fake discovery service.
pub struct Discovery(Arc<Inner>);

impl Discovery {
    /// Starts with a list of backends, and listens on the given address for each gateway.
    pub fn start(
        listen_addresses: &BTreeMap<String, SocketAddr>,
        backends: Vec<ListedBackend>,
        clock: Clock,
        spawner: Spawner,
    ) -> io::Result<Discovery> {
        let backends = backends.into_iter().map(|b| (b.name.clone(), (1, b))).collect();
        let state = State {
            mode: Mode::Normal,
            generation: 1,
            backends,
            sent_updates: vec![],
            calls: vec![],
            is_closed: false,
        };
        let inner = Arc::new(Inner {
            clock,
            spawner,
            state: Mutex::new(state),
            changed: Event::new(),
            queue: Mutex::default(),
            joined: Event::new(),
        });
        let discovery = Discovery(inner);
        listen_addresses.iter().try_for_each(|(gateway, at)| discovery.add_listener(gateway, *at))?;
        discovery.0.spawner.spawn(queue::run(discovery.0.clone()));
        Ok(discovery)
    }

    /// Listens on one more address.
    pub fn add_listener(&self, gateway: &str, at: SocketAddr) -> io::Result<()> {
        let listener = listeners::listen(at)?;
        self.0.spawner.spawn(listeners::run(self.0.clone(), gateway.into(), at, listener));
        Ok(())
    }

    /// Closes all listeners, or opens them again; established connections are not affected.
    pub fn set_closed(&self, is_closed: bool) {
        lock(&self.0.state).is_closed = is_closed;
        self.0.changed.notify(usize::MAX);
    }

    /// Queues calls from now on, or serves them immediately again. Calls that wait keep their place.
    pub fn set_queue_policy(&self, policy: Option<QueuePolicy>) {
        lock(&self.0.queue).policy = policy;
    }

    /// Changes the entry of a backend; returns the new generation and the time of the change. An unknown name
    /// changes nothing.
    pub fn update(&self, name: &str, change: impl FnOnce(&mut ListedBackend)) -> (u64, Duration) {
        let mut state = lock(&self.0.state);
        let next = state.generation + 1;
        if let Some((changed_in, listed)) = state.backends.get_mut(name) {
            change(listed);
            *changed_in = next;
            state.generation = next;
            self.0.changed.notify(usize::MAX);
        }
        (state.generation, self.0.clock.now())
    }

    /// Sets the lifecycle of a backend.
    pub fn set_lifecycle(&self, name: &str, lifecycle: Lifecycle) -> (u64, Duration) {
        self.update(name, |listed| listed.lifecycle = lifecycle)
    }

    /// Adds or replaces a backend on the list; returns the new generation.
    pub fn add(&self, listed: ListedBackend) -> u64 {
        let mut state = lock(&self.0.state);
        state.generation += 1;
        let generation = state.generation;
        state.backends.insert(listed.name.clone(), (generation, listed));
        self.0.changed.notify(usize::MAX);
        generation
    }

    /// Sets the mode from now on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.0.state).mode = mode;
        self.0.changed.notify(usize::MAX);
    }

    /// All updates that were sent so far.
    pub fn sent_updates(&self) -> Vec<SentUpdate> {
        lock(&self.0.state).sent_updates.clone()
    }

    /// All calls in the order of their arrival, with their outcomes.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.0.state).calls.clone()
    }
}
