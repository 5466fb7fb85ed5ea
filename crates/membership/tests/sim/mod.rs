//! A network of members under one seed: loss, doubling, delay and with it reordering, one-way cuts, processes that stand
//! still, end and start anew. Each process has a clock of its own origin.
#![allow(dead_code, unused_imports, clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{MemberId, Time};
use membership::{Action, Event, Members, Settings, State};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

mod check;
pub use check::{address, name, seed, seeds};

pub const KEY: [u8; 32] = [9; 32];

/// The first so many members are configured at all; the others join.
pub const SEEDS: usize = 3;

pub struct Node {
    pub machine: Option<Members>,
    pub settings: Settings,
    pub keys: Keys,
    /// Its clock's lead over the simulated time.
    offset: u64,
    pub started: Time,
    still_until: Time,
}

impl Node {
    pub fn clock(&self, now: Time) -> Time {
        Time(now.0 + self.offset)
    }

    fn wake(&self) -> Option<Time> {
        let wake = self.machine.as_ref()?.wake()?;
        Some(Time(wake.0.saturating_sub(self.offset)).max(self.still_until))
    }
}

pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub rng: SmallRng,
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: (u64, u64),
    /// From whom to whom nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Every datagram that was sent, if wanted.
    pub tap: Option<Vec<(usize, usize, Vec<u8>)>>,
    /// Who held whom how, from when on.
    pub changes: Vec<(Time, usize, MemberId, State)>,
    /// Which datagrams were taken, as long as there is a tap.
    taken: BTreeSet<(usize, Vec<u8>)>,
    wire: BTreeMap<(Time, u64), (usize, SocketAddr, Vec<u8>)>,
    count: u64,
    wakes: Vec<Option<Time>>,
}

impl Sim {
    pub fn new(count: usize, seed_of_run: u64) -> Sim {
        let mut sim = Sim {
            now: Time(0),
            nodes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed_of_run),
            loss: 0.0,
            doubled: 0.0,
            delay_ms: (1, 5),
            cut: BTreeSet::new(),
            tap: None,
            changes: Vec::new(),
            taken: BTreeSet::new(),
            wire: BTreeMap::new(),
            count: 0,
            wakes: vec![None; count],
        };
        for which in 0..count {
            let mut settings = Settings::new(seed(which), 1 << 20, (0..SEEDS.min(count)).map(seed).collect());
            settings.allowed = vec!["10.0.0.0/16".parse().unwrap()];
            let (machine, keys, offset) = (None, Keys::new(KEY, None), sim.rng.random_range(0..1 << 40));
            let (started, still_until) = (Time(0), Time(0));
            sim.nodes.push(Node { machine, settings, keys, offset, started, still_until });
        }
        sim
    }

    /// All started at about the same time.
    pub fn started(count: usize, seed_of_run: u64) -> Sim {
        let mut sim = Sim::new(count, seed_of_run);
        (0..count).for_each(|which| sim.start(which));
        sim
    }

    pub fn start(&mut self, which: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[which];
        node.settings.life += 1 << 20;
        node.started = self.now;
        let clock = node.clock(self.now);
        node.machine = Some(Members::new(node.settings.clone(), node.keys.clone(), clock, seed).unwrap());
        self.event(which, Event::Tick);
    }

    pub fn kill(&mut self, which: usize) {
        self.check_bytes(which);
        self.nodes[which].machine = None;
        self.wakes[which] = None;
    }

    pub fn stand_still(&mut self, which: usize, span: Duration) {
        self.nodes[which].still_until = self.now + span;
        self.wakes[which] = self.nodes[which].wake();
    }

    pub fn split(&mut self, left: &BTreeSet<usize>) {
        for one in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if left.contains(&one) != left.contains(&other) {
                    self.cut.insert((one, other));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        for which in 0..self.nodes.len() {
            self.nodes[which].still_until = self.now;
            self.wakes[which] = self.nodes[which].wake();
        }
    }

    pub fn event(&mut self, which: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[which];
        let (clock, bound, mut out) = (node.clock(now), node.settings.datagram, Vec::new());
        let Some(machine) = &mut node.machine else { return };
        machine.handle(clock, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= bound);
                    if let Some(to) = check::of(to) {
                        self.send(which, to, bytes);
                    }
                }
                Action::Changed { member, state, .. } => self.changes.push((now, which, member, state)),
                Action::Evidence(_) => {}
            }
        }
        self.wakes[which] = self.nodes[which].wake();
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(tap) = &mut self.tap {
            tap.push((from, to, bytes.clone()));
        }
        let copies = if self.rng.random_bool(self.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            if to < self.nodes.len() && !self.cut.contains(&(from, to)) && !self.rng.random_bool(self.loss) {
                let micros = self.rng.random_range(self.delay_ms.0 * 1_000..=self.delay_ms.1 * 1_000);
                self.inject(from, to, bytes.clone(), Duration::from_micros(micros));
            }
        }
    }

    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>, after: Duration) {
        self.count += 1;
        self.wire.insert((self.now + after, self.count), (to, address(from), bytes));
    }

    /// Whether a datagram came to that one.
    pub fn arrived(&self, to: usize, bytes: &[u8]) -> bool {
        self.taken.contains(&(to, bytes.to_vec()))
    }

    pub fn run(&mut self, span: Duration) {
        let (end, mut steps_at) = (self.now + span, (self.now, 0));
        loop {
            let wake = (0..self.nodes.len()).filter_map(|which| Some((self.wakes[which]?, which))).min();
            let datagram = self.wire.first_key_value().map(|(key, _)| key.0);
            let Some(next) =
                wake.map(|wake| wake.0).into_iter().chain(datagram).min().filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            steps_at = if steps_at.0 == self.now { (self.now, steps_at.1 + 1) } else { (self.now, 0) };
            assert!(steps_at.1 < 10_000, "time stands still at {:?}", self.now);
            if datagram == Some(next) {
                let (_, (to, from, bytes)) = self.wire.pop_first().unwrap();
                let until = self.nodes[to].still_until;
                if until > self.now {
                    // It waits in the socket's buffer.
                    self.count += 1;
                    self.wire.insert((until, self.count), (to, from, bytes));
                } else {
                    if self.tap.is_some() {
                        self.taken.insert((to, bytes.clone()));
                    }
                    self.event(to, Event::Datagram { from, bytes });
                }
            } else if let Some((_, which)) = wake {
                self.event(which, Event::Tick);
            }
        }
        self.now = end;
        (0..self.nodes.len()).for_each(|which| self.check_bytes(which));
    }
}
