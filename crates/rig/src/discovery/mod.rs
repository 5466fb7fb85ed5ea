//! Stand-in discovery: the list, and watches over HTTP. Each front has a door of its own.
mod serve;

use crate::engine::{lock, pause, Clock, Spawner};
use async_io::Async;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
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
    calls: u64,
}

struct Inner {
    clock: Clock,
    spawner: Spawner,
    state: Mutex<State>,
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
        let state = State { manner: Manner::Well, generation: 1, boxes, told: vec![], calls: 0 };
        let inner = Arc::new(Inner { clock, spawner, state: Mutex::new(state) });
        for (front, at) in doors {
            let listener = Async::<TcpListener>::bind(*at)?;
            inner.spawner.spawn(door(inner.clone(), front.clone(), listener));
        }
        Ok(Discovery(inner))
    }

    /// Changes a box's entry; returns the new generation and when it changed. A name that is not listed changes nothing.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Listed)) -> (u64, Duration) {
        let mut state = lock(&self.0.state);
        let next = state.generation + 1;
        if let Some((at, listed)) = state.boxes.get_mut(name) {
            change(listed);
            *at = next;
            state.generation = next;
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
        generation
    }

    /// Sets how it acts, from now on.
    pub fn act(&self, manner: Manner) {
        lock(&self.0.state).manner = manner;
    }

    /// Everything that was written so far.
    pub fn told(&self) -> Vec<Told> {
        lock(&self.0.state).told.clone()
    }

    /// Calls that came.
    pub fn calls(&self) -> u64 {
        lock(&self.0.state).calls
    }
}

async fn door(inner: Arc<Inner>, front: String, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                let work = serve::call(inner.clone(), front.clone(), stream);
                inner.spawner.spawn(work);
            }
            Err(_) => pause(Duration::from_millis(5)).await,
        }
    }
}

impl Inner {
    fn manner(&self) -> Manner {
        lock(&self.state).manner
    }

    /// What has changed since that generation, as a line, or the whole list where that can't be said; none where nothing has.
    fn news(&self, front: &str, from: Option<u64>) -> Option<(String, Told)> {
        let state = lock(&self.state);
        let from = from.filter(|f| (1..=state.generation).contains(f));
        if from == Some(state.generation) {
            return None;
        }
        let fresh = |(at, listed): &&(u64, Listed)| match from {
            Some(from) => *at > from,
            None => listed.lifecycle != Lifecycle::Left,
        };
        let boxes: Vec<&Listed> = state.boxes.values().filter(fresh).map(|(_, l)| l).collect();
        let entries: Vec<Value> = boxes.iter().filter_map(|l| entry(l, front)).collect();
        let line = json!({"generation": state.generation, "reset": from.is_none(), "instances": entries});
        let told = Told {
            order: 0,
            at: Duration::ZERO,
            front: front.into(),
            generation: state.generation,
            whole: from.is_none(),
            boxes: boxes.iter().map(|l| (l.name.clone(), l.lifecycle)).collect(),
        };
        Some((line.to_string(), told))
    }

    fn record(&self, told: Told) {
        let mut state = lock(&self.state);
        let (order, at) = (self.clock.order(), self.clock.now());
        state.told.push(Told { order, at, ..told });
    }
}

fn entry(listed: &Listed, front: &str) -> Option<Value> {
    let lifecycle = match listed.lifecycle {
        Lifecycle::Active => "active",
        Lifecycle::Leaving => "leaving",
        Lifecycle::Left => "left",
    };
    let mut entry = json!({
        "instanceId": listed.name, "hostPort": listed.addresses.get(front)?.to_string(), "zone": listed.hall,
        "machineType": "m1", "cell": listed.cell, "lifecycle": lifecycle, "weight": 1.0,
        "startedAtMs": listed.started_ms,
    });
    if listed.speaks != "resp" {
        entry["speaks"] = listed.speaks.into();
        entry["target"] = listed.target.as_str().into();
    }
    Some(entry)
}
