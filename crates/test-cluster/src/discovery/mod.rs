//! Stand-in discovery: the list, and watches over HTTP. Each front has a door of its own.
mod calls;
mod doors;
mod news;
mod queue;
mod serve;

pub use calls::{Call, Outcome};
pub use queue::{Refusal, Turns};

use crate::engine::{lock, Clock, Spawner};
use event_listener::Event;
use queue::Queue;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A box's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// It takes what comes.
    Active,
    /// It finishes what it has, and wants nothing new.
    Leaving,
    /// It is not there any more.
    Left,
}

/// A box on the list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The shard that it holds.
    pub cell: i64,
    /// `resp` or `iscsi`.
    pub speaks: &'static str,
    /// Its target's name, for iSCSI.
    pub target: String,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// Its last start, as Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// Its address, as each front sees it.
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// How discovery acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// As it should.
    #[default]
    Well,
    /// Connections come up, and nothing is said.
    Silent,
    /// Calls are answered 503; watches end.
    Unavailable,
    /// Watches and calls end with a reset.
    Down,
}

/// Something that was written to a front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its place in the rig's order.
    pub order: u64,
    /// When the last byte was written.
    pub at: Duration,
    /// The front.
    pub front: String,
    /// The generation.
    pub generation: u64,
    /// Whether it was the whole list: what it does not name is gone.
    pub whole: bool,
    /// What it said of which boxes.
    pub boxes: Vec<(String, Lifecycle)>,
}

struct State {
    manner: Manner,
    generation: u64,
    /// Each with the generation that changed it last.
    boxes: BTreeMap<String, (u64, Listed)>,
    told: Vec<Told>,
    calls: Vec<Call>,
    /// Nobody listens at any door.
    closed: bool,
}

struct Inner {
    clock: Clock,
    spawner: Spawner,
    state: Mutex<State>,
    /// Wakes whatever waits for another list or manner.
    changed: Event,
    queue: Mutex<Queue>,
    /// Wakes the one who takes calls in turn.
    joined: Event,
}

/// Discovery.
pub struct Discovery(Arc<Inner>);

impl Discovery {
    /// Listens at a door for each front, with such a list.
    pub fn start(
        doors: &BTreeMap<String, SocketAddr>,
        boxes: Vec<Listed>,
        clock: Clock,
        spawner: Spawner,
    ) -> io::Result<Discovery> {
        let boxes = boxes.into_iter().map(|b| (b.name.clone(), (1, b))).collect();
        let state =
            State { manner: Manner::Well, generation: 1, boxes, told: vec![], calls: vec![], closed: false };
        let inner = Arc::new(Inner {
            clock,
            spawner,
            state: Mutex::new(state),
            changed: Event::new(),
            queue: Mutex::default(),
            joined: Event::new(),
        });
        let discovery = Discovery(inner);
        doors.iter().try_for_each(|(front, at)| discovery.door(front, *at))?;
        discovery.0.spawner.spawn(queue::work(discovery.0.clone()));
        Ok(discovery)
    }

    /// Listens at one more door.
    pub fn door(&self, front: &str, at: SocketAddr) -> io::Result<()> {
        let listener = doors::listen(at)?;
        self.0.spawner.spawn(doors::run(self.0.clone(), front.into(), at, listener));
        Ok(())
    }

    /// Stops listening at all doors, or listens again; watches and calls that are there stay as they are.
    pub fn close(&self, closed: bool) {
        lock(&self.0.state).closed = closed;
        self.0.changed.notify(usize::MAX);
    }

    /// Takes calls in turn from now on, or all at once again. Calls that wait keep their place.
    pub fn take_turns(&self, turns: Option<Turns>) {
        lock(&self.0.queue).turns = turns;
    }

    /// Changes a box's entry; returns the new generation and when it changed. A name that is not listed changes nothing.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Listed)) -> (u64, Duration) {
        let mut state = lock(&self.0.state);
        let next = state.generation + 1;
        if let Some((at, listed)) = state.boxes.get_mut(name) {
            change(listed);
            *at = next;
            state.generation = next;
            self.0.changed.notify(usize::MAX);
        }
        (state.generation, self.0.clock.now())
    }

    /// Sets a box's lifecycle.
    pub fn set(&self, name: &str, lifecycle: Lifecycle) -> (u64, Duration) {
        self.change(name, |listed| listed.lifecycle = lifecycle)
    }

    /// Lists a box, anew or in another's place.
    pub fn list(&self, listed: Listed) -> u64 {
        let mut state = lock(&self.0.state);
        state.generation += 1;
        let generation = state.generation;
        state.boxes.insert(listed.name.clone(), (generation, listed));
        self.0.changed.notify(usize::MAX);
        generation
    }

    /// Sets how it acts, from now on.
    pub fn act(&self, manner: Manner) {
        lock(&self.0.state).manner = manner;
        self.0.changed.notify(usize::MAX);
    }

    /// Everything that was written so far.
    pub fn told(&self) -> Vec<Told> {
        lock(&self.0.state).told.clone()
    }

    /// Calls that came, in their order, and what became of them.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.0.state).calls.clone()
    }
}
