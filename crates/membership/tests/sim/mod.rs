//! A deterministic simulation of a network of members: loss, duplication, delay (and thus reordering), blocked directions,
//! and stalled, killed and restarted processes. The clock of each process has its own origin.
#![allow(dead_code, unused_imports, clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::{MemberId, Time};
use membership::{Action, Event, MemberState, Membership, Settings};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

mod check;
pub use check::{address, name, run_with_seeds, seed};

pub const KEY: [u8; 32] = [9; 32];

/// The number of configured members; the others join.
pub const SEED_MEMBER_COUNT: usize = 3;

/// The difference between the incarnations of a process before and after a restart.
pub const INCARNATION_STEP: u64 = 1 << 20;

pub struct Node {
    pub membership: Option<Membership>,
    pub settings: Settings,
    pub keys: Keys,
    /// How far its clock is ahead of the simulated time, in microseconds.
    clock_offset: u64,
    pub started: Time,
    stalled_until: Time,
}

impl Node {
    pub fn clock(&self, now: Time) -> Time {
        Time(now.0 + self.clock_offset)
    }

    fn wake(&self) -> Option<Time> {
        let wake = self.membership.as_ref()?.wake()?;
        Some(Time(wake.0.saturating_sub(self.clock_offset)).max(self.stalled_until))
    }
}

pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub rng: SmallRng,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    pub delay_ms: (u64, u64),
    /// The pairs of sender and receiver between which nothing is delivered.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Every datagram that was sent, with its sender and receiver, while recording is enabled.
    pub tap: Option<Vec<(usize, usize, Vec<u8>)>>,
    /// The changes of the members' views: the time, the observing member, the observed one and its new state.
    pub changes: Vec<(Time, usize, MemberId, MemberState)>,
    /// The delivered datagrams, with their receivers, while recording is enabled.
    delivered: BTreeSet<(usize, Vec<u8>)>,
    in_flight: BTreeMap<(Time, u64), (usize, SocketAddr, Vec<u8>)>,
    sent: u64,
    wakes: Vec<Option<Time>>,
}

impl Sim {
    /// A network of `count` members that are not started.
    pub fn new(count: usize, seed_of_run: u64) -> Sim {
        let mut sim = Sim {
            now: Time(0),
            nodes: Vec::new(),
            rng: SmallRng::seed_from_u64(seed_of_run),
            loss: 0.0,
            duplication: 0.0,
            delay_ms: (1, 5),
            blocked: BTreeSet::new(),
            tap: None,
            changes: Vec::new(),
            delivered: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            wakes: vec![None; count],
        };
        for index in 0..count {
            let seeds = (0..SEED_MEMBER_COUNT.min(count)).map(seed).collect();
            let mut settings = Settings::new(seed(index), INCARNATION_STEP, seeds);
            settings.allowed_networks = vec!["10.0.0.0/16".parse().unwrap()];
            sim.nodes.push(Node {
                membership: None,
                settings,
                keys: Keys::new(KEY, None),
                clock_offset: sim.rng.random_range(0..1 << 40),
                started: Time(0),
                stalled_until: Time(0),
            });
        }
        sim
    }

    /// A network of `count` members that start at the same time.
    pub fn started(count: usize, seed_of_run: u64) -> Sim {
        let mut sim = Sim::new(count, seed_of_run);
        (0..count).for_each(|index| sim.start(index));
        sim
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.settings.incarnation += INCARNATION_STEP;
        node.started = self.now;
        let clock = node.clock(self.now);
        let membership = Membership::new(node.settings.clone(), node.keys.clone(), clock, seed);
        node.membership = Some(membership.unwrap());
        self.event(index, Event::Tick);
    }

    pub fn kill(&mut self, index: usize) {
        self.assert_within_send_budget(index);
        self.nodes[index].membership = None;
        self.wakes[index] = None;
    }

    pub fn stall(&mut self, index: usize, span: Duration) {
        self.nodes[index].stalled_until = self.now + span;
        self.wakes[index] = self.nodes[index].wake();
    }

    /// Blocks all traffic between the members in `side` and the others.
    pub fn partition(&mut self, side: &BTreeSet<usize>) {
        for one in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if side.contains(&one) != side.contains(&other) {
                    self.blocked.insert((one, other));
                }
            }
        }
    }

    /// Ends all blocks and stalls.
    pub fn heal(&mut self) {
        self.blocked.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].stalled_until = self.now;
            self.wakes[index] = self.nodes[index].wake();
        }
    }

    pub fn event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let (clock, bound, mut out) = (node.clock(now), node.settings.max_datagram_bytes, Vec::new());
        let Some(membership) = &mut node.membership else { return };
        membership.handle(clock, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= bound);
                    if let Some(to) = check::index_of(to) {
                        self.send(index, to, bytes);
                    }
                }
                Action::MemberChanged { member, state, .. } => self.changes.push((now, index, member, state)),
                Action::ClaimsChanged(_) => {}
            }
        }
        self.wakes[index] = self.nodes[index].wake();
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(tap) = &mut self.tap {
            tap.push((from, to, bytes.clone()));
        }
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let reaches = to < self.nodes.len() && !self.blocked.contains(&(from, to));
            if reaches && !self.rng.random_bool(self.loss) {
                let micros = self.rng.random_range(self.delay_ms.0 * 1_000..=self.delay_ms.1 * 1_000);
                self.inject(from, to, bytes.clone(), Duration::from_micros(micros));
            }
        }
    }

    /// Delivers a datagram after a delay.
    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>, after: Duration) {
        self.sent += 1;
        self.in_flight.insert((self.now + after, self.sent), (to, address(from), bytes));
    }

    /// Whether a datagram was delivered to a member.
    pub fn was_delivered(&self, to: usize, bytes: &[u8]) -> bool {
        self.delivered.contains(&(to, bytes.to_vec()))
    }

    pub fn run(&mut self, span: Duration) {
        let (end, mut steps_at) = (self.now + span, (self.now, 0));
        loop {
            let wake = (0..self.nodes.len()).filter_map(|index| Some((self.wakes[index]?, index))).min();
            let datagram = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let next = wake.map(|wake| wake.0).into_iter().chain(datagram).min();
            let Some(next) = next.filter(|at| *at <= end) else { break };
            self.now = self.now.max(next);
            steps_at = if steps_at.0 == self.now { (self.now, steps_at.1 + 1) } else { (self.now, 0) };
            assert!(steps_at.1 < 10_000, "time doesn't advance at {:?}", self.now);
            if datagram == Some(next) {
                self.deliver_next();
            } else if let Some((_, index)) = wake {
                self.event(index, Event::Tick);
            }
        }
        self.now = end;
        (0..self.nodes.len()).for_each(|index| self.assert_within_send_budget(index));
    }

    fn deliver_next(&mut self) {
        let (_, (to, from, bytes)) = self.in_flight.pop_first().unwrap();
        let stalled_until = self.nodes[to].stalled_until;
        if stalled_until > self.now {
            // The datagram stays in the socket's receive buffer.
            self.sent += 1;
            self.in_flight.insert((stalled_until, self.sent), (to, from, bytes));
        } else {
            if self.tap.is_some() {
                self.delivered.insert((to, bytes.clone()));
            }
            self.event(to, Event::Datagram { from, bytes });
        }
    }
}
