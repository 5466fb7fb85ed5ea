//! A front and its host: what is in force there.
use super::log::REFUSED;
use super::{Ev, Node, World};
use cluster_types::{Index, Time};
use config_distribution::{Action, Change, Event, Key, Scope, Subscriber};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub struct Front {
    pub zone: usize,
    pub scope: Scope,
    pub relays: Vec<usize>,
    pub subscriber: Subscriber,
    pub up: bool,
    pub life: u32,
    pub wake: Time,
    pub stalled: Time,
    pub refuses: bool,
    pub kept: Option<Vec<u8>>,
    /// What is in force at its host, by its version.
    pub force: BTreeMap<Key, (Index, Arc<[u8]>)>,
    /// Of each key the newest version that ever was in force.
    pub seen: BTreeMap<Key, Index>,
    /// The same, from before it was last killed too: what is timed is timed once.
    pub timed: BTreeMap<Key, Index>,
}

/// What a run does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Hosts take a value again that was in force before.
    Version,
    /// Relays lose a change now and then, and tell no sums.
    Digest,
    /// Relays lose a change now and then; sums find it. Not a fault of the rules: the end is to be exact.
    Lost,
    /// Hosts put half of what is ordered together in force.
    Half,
    /// Hosts answer first and put in force 8 s later.
    Early,
}

impl World {
    pub fn front_actions(&mut self, n: usize, actions: Vec<Action>) {
        let node = Node::Front(n);
        for action in actions {
            match action {
                Action::Connect { call, relay } => {
                    let server = self.fronts[n].relays[relay];
                    self.connect(node, call, server);
                }
                Action::Close { call } => self.hang_up(node, call),
                Action::Send { call, message } => self.ask(node, call, message),
                Action::Keep(bytes) => {
                    self.seen.kept += bytes.len() as u64;
                    self.fronts[n].kept = Some(bytes);
                }
                Action::Decide { whole, changes } => {
                    let takes = Duration::from_micros(self.random.random_range(200..4_000));
                    let life = self.fronts[n].life;
                    self.after(takes, Ev::Decide { front: n, life, whole, changes });
                }
            }
        }
    }

    pub fn front_event(&mut self, n: usize, event: Event) {
        let mut actions = vec![];
        let timed = self.timed.then(std::time::Instant::now);
        self.fronts[n].subscriber.handle(self.now, event, &mut actions);
        self.seen.front_time += timed.map_or(Duration::ZERO, |t| t.elapsed());
        self.front_actions(n, actions);
        if let Some(wake) = self.fronts[n].subscriber.wake() {
            let wake = wake.max(self.now + Duration::from_millis(1));
            if self.fronts[n].wake != wake {
                self.fronts[n].wake = wake;
                self.at(wake, Ev::Wake(Node::Front(n)));
            }
        }
    }

    /// The host decides: whole or not at all.
    pub fn decide(&mut self, n: usize, life: u32, whole: bool, changes: Vec<Change>) {
        let front = &self.fronts[n];
        if !front.up || front.life != life {
            return;
        }
        let faulty = |c: &&Change| c.value.as_ref().is_some_and(|v| v.first() == Some(&REFUSED));
        let refused: Vec<(Key, String)> = changes
            .iter()
            .filter(|_| front.refuses)
            .filter(faulty)
            .map(|c| (c.key.clone(), format!("{}: the value begins with a mark", c.key.name)))
            .collect();
        if refused.is_empty() {
            match self.broken {
                Some(Broken::Early) => {
                    let event = Ev::Force { front: n, life, whole, changes };
                    self.after(Duration::from_secs(8), event);
                }
                _ => self.put_in_force(n, whole, changes),
            }
        }
        self.front_event(n, Event::Decided { refused });
    }

    pub fn put_in_force(&mut self, n: usize, whole: bool, mut changes: Vec<Change>) {
        if self.broken == Some(Broken::Half) && changes.len() > 1 && !whole {
            changes.truncate(changes.len() / 2);
        }
        if self.broken == Some(Broken::Version) && self.random.random_bool(0.05) {
            let old = self.fronts[n].force.iter().next().map(|(k, (v, _))| (k.clone(), Index(v.0 - 1)));
            let value: Arc<[u8]> = b"old".as_slice().into();
            changes.extend(old.map(|(key, version)| Change {
                version,
                class: config_distribution::Class::Configuration,
                key,
                value: Some(value),
            }));
        }
        self.check_changes(n, &changes);
        let front = &mut self.fronts[n];
        if whole {
            front.force.clear();
        }
        for change in &changes {
            let seen = front.seen.entry(change.key.clone()).or_default();
            *seen = change.version.max(*seen);
            let timed = front.timed.entry(change.key.clone()).or_default();
            // One that refuses takes what fell with an order when that is replaced: that is no span of the way.
            if *timed < change.version && !front.refuses {
                *timed = change.version;
                self.seen.forced(self.now, self.log.order(change.version).0, change.class);
            }
            match &change.value {
                Some(value) => drop(front.force.insert(change.key.clone(), (change.version, value.clone()))),
                None => drop(front.force.remove(&change.key)),
            }
        }
        self.check_orders(n, &changes);
    }

    pub fn start_front(&mut self, n: usize) {
        let (now, seed, fleet) = (self.now, self.random.random(), self.fronts.len() as u32);
        let front = &mut self.fronts[n];
        let (scope, relays) = (front.scope.clone(), front.relays.len());
        let (subscriber, fault) = Subscriber::new(scope, (relays, fleet), (now, seed), front.kept.as_deref());
        assert_eq!(fault, None, "what a front keeps can be read");
        front.subscriber = subscriber;
        (front.up, front.life) = (true, front.life + 1);
        let mut actions = vec![];
        front.subscriber.begin(&mut actions);
        self.front_actions(n, actions);
        self.front_event(n, Event::Tick);
    }

    pub fn kill_front(&mut self, n: usize) {
        let front = &mut self.fronts[n];
        (front.up, front.life) = (false, front.life + 1);
        // What was in force is gone with the process, and so is its memory of versions beyond what was kept.
        front.force.clear();
        front.seen.clear();
        self.drop_links(Node::Front(n), false);
    }
}
