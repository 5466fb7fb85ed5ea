//! A fleet in simulated time: voters that apply one log, relays that follow them, fronts; links, cuts, stalls and deaths.
// The example uses a part of it.
#![allow(dead_code, clippy::unwrap_used)]
pub mod build;
pub mod check;
pub mod front;
pub mod log;
pub mod machine;
pub mod net;
pub mod plan;
pub mod seen;

use backoff::Failure;
use cluster_types::Time;
use config_distribution::{Change, Event, FromRelay, Order, RelayEvent, Report, Settings, ToRelay};
pub use front::{Broken, Front};
pub use log::{Log, Universe};
pub use machine::Machine;
use net::Link;
use rand::rngs::SmallRng;
use seen::Seen;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Machine(usize),
    Front(usize),
}

pub enum Ev {
    Wake(Node),
    Apply { machine: usize },
    Up { link: u64 },
    Ended { link: u64, failure: Failure },
    Left { link: u64 },
    Ask { link: u64, message: ToRelay },
    Tell { link: u64, bytes: usize, message: FromRelay },
    Decide { front: usize, life: u32, whole: bool, changes: Vec<Change> },
    Force { front: usize, life: u32, whole: bool, changes: Vec<Change> },
    Peer { machine: usize, reports: Vec<Report> },
}

pub struct World {
    pub now: Time,
    pub random: SmallRng,
    queue: BTreeMap<(Time, u64), Ev>,
    count: u64,
    pub settings: Settings,
    pub voters: usize,
    pub regions: usize,
    pub names: Vec<Arc<str>>,
    pub machines: Vec<Machine>,
    pub fronts: Vec<Front>,
    pub links: BTreeMap<u64, Link>,
    pub links_made: u64,
    pub calls: BTreeMap<(Node, u64), u64>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub log: Log,
    pub seen: Seen,
    pub faults: Vec<String>,
    pub broken: Option<Broken>,
    pub spoils: bool,
    pub timed: bool,
    /// Whether what costs by the fleet's size is looked at too.
    pub checks: bool,
}

impl World {
    pub fn at(&mut self, at: Time, event: Ev) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), event);
    }

    pub fn after(&mut self, span: Duration, event: Ev) {
        self.at(self.now + span, event);
    }

    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    pub fn zone(&self, node: Node) -> usize {
        match node {
            Node::Machine(m) => self.machines[m].zone,
            Node::Front(n) => self.fronts[n].zone,
        }
    }

    pub fn life(&self, node: Node) -> u32 {
        match node {
            Node::Machine(m) => self.machines[m].life,
            Node::Front(n) => self.fronts[n].life,
        }
    }

    /// An order goes into the log; the voters hear of it.
    pub fn order(&mut self, order: Order) {
        self.log.add(self.now, order);
        for m in 0..self.voters {
            self.after(self.machines[m].late, Ev::Apply { machine: m });
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, until: Time) {
        while let Some((at, event)) = self.pop(until) {
            self.now = at;
            match self.whose(&event) {
                Some(node) if self.stalled(node) > at => {
                    let stalled = self.stalled(node);
                    self.at(stalled, event);
                }
                _ => self.step(event),
            }
        }
        self.now = until;
    }

    fn pop(&mut self, until: Time) -> Option<(Time, Ev)> {
        let next = self.queue.first_entry().filter(|entry| entry.key().0 <= until)?;
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }

    fn stalled(&self, node: Node) -> Time {
        match node {
            Node::Machine(m) => self.machines[m].stalled,
            Node::Front(n) => self.fronts[n].stalled,
        }
    }

    fn whose(&self, event: &Ev) -> Option<Node> {
        let link = |id: &u64| self.links.get(id);
        match event {
            Ev::Wake(node) => Some(*node),
            Ev::Apply { machine } | Ev::Peer { machine, .. } => Some(Node::Machine(*machine)),
            Ev::Up { link: id } | Ev::Ended { link: id, .. } | Ev::Tell { link: id, .. } => {
                link(id).map(|l| l.client)
            }
            Ev::Left { link: id } | Ev::Ask { link: id, .. } => link(id).map(|l| Node::Machine(l.server)),
            Ev::Decide { front, .. } | Ev::Force { front, .. } => Some(Node::Front(*front)),
        }
    }

    fn node_event(&mut self, node: Node, event: Event) {
        match node {
            Node::Machine(m) if self.machines[m].up => self.follower_event(m, event),
            Node::Front(n) if self.fronts[n].up => self.front_event(n, event),
            _ => {}
        }
    }

    fn step(&mut self, event: Ev) {
        match event {
            Ev::Wake(Node::Machine(m)) => {
                if self.machines[m].up && self.machines[m].wake <= self.now {
                    self.relay_event(m, RelayEvent::Tick);
                    self.follower_event(m, Event::Tick);
                }
            }
            Ev::Wake(Node::Front(n)) => {
                if self.fronts[n].up && self.fronts[n].wake <= self.now {
                    self.front_event(n, Event::Tick);
                }
            }
            Ev::Apply { machine } if self.machines[machine].up => self.apply(machine),
            Ev::Peer { machine, reports } if self.machines[machine].up => {
                self.relay_event(machine, RelayEvent::Reports(reports));
            }
            Ev::Apply { .. } | Ev::Peer { .. } => {}
            Ev::Decide { front, life, whole, changes } => self.decide(front, life, whole, changes),
            Ev::Force { front, life, whole, changes } => {
                if self.fronts[front].life == life {
                    self.put_in_force(front, whole, changes);
                }
            }
            Ev::Up { link } => self.up(link),
            Ev::Ended { link: id, failure } => {
                let Some(link) = self.links.get(&id).filter(|l| l.open.0) else { return };
                let (client, life, call) = (link.client, link.client_life, link.call);
                self.links.remove(&id);
                self.calls.remove(&(client, call));
                if self.life(client) == life {
                    self.node_event(client, Event::Down { call, failure });
                }
            }
            Ev::Left { link: id } => {
                let Some(link) = self.links.get(&id) else { return };
                let (server, life, open) = (link.server, link.server_life, link.open);
                if !open.0 {
                    self.links.remove(&id);
                }
                if self.machines[server].up && self.machines[server].life == life && open.1 {
                    self.relay_event(server, RelayEvent::Left { link: id });
                }
            }
            Ev::Ask { link: id, message } => {
                let Some(link) = self.links.get(&id).filter(|l| l.open.1) else { return };
                let (server, life) = (link.server, link.server_life);
                if self.machines[server].up && self.machines[server].life == life {
                    self.relay_event(server, RelayEvent::Message { link: id, message });
                }
            }
            Ev::Tell { link: id, bytes, message } => {
                let Some(link) = self.links.get_mut(&id) else { return };
                link.flight = link.flight.saturating_sub(bytes);
                let (client, life, call, open) = (link.client, link.client_life, link.call, link.open.0);
                if open && self.life(client) == life {
                    self.node_event(client, Event::Message { call, message });
                }
            }
        }
    }

    fn up(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).filter(|l| l.open.0 && !l.dead) else { return };
        let (client, call, server) = (link.client, link.call, link.server);
        let name = match client {
            Node::Machine(m) => self.machines[m].name.clone(),
            Node::Front(n) => format!("front-{n}").as_str().into(),
        };
        if !self.machines[server].up || self.machines[server].life != link.server_life {
            return self.after(Duration::ZERO, Ev::Ended { link: id, failure: Failure::Down });
        }
        self.relay_event(server, RelayEvent::Joined { link: id, name });
        self.node_event(client, Event::Up { call });
    }
}
