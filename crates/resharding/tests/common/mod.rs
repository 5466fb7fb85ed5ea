//! Simulates members on an idealised replicated log, with backends, clients and failures, deterministically from one
//! seed. Times are in microseconds.
#![allow(dead_code)]
pub mod backends;
pub mod clients;
pub mod failures;
pub mod history;
pub mod network;
pub mod one_migration;
mod ticks;

use clients::ClientRequest;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use history::History;
use network::{Message, Sender};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use resharding::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        lease: ms(200),
        max_clock_drift: ms(12),
        max_command_time: ms(50),
        hand_over_timeout: ms(250),
        report_interval: ms(24),
        hand_over_blocks: 12,
        chunk_blocks: 4,
        max_chunks: 3,
        verify: true,
    }
}

pub fn new_agent(name: &MemberId, incarnation: u64, state: &ReshardingState, now: Time) -> MemberAgent {
    let state = Arc::new(state.clone());
    MemberAgent::new(name.clone(), incarnation, settings(), ManagedVolumes::All, state, now)
}

pub struct Member {
    pub name: MemberId,
    pub is_running: bool,
    pub is_cut_off: bool,
    pub stalled_until: u64,
    pub incarnation: u64,
    pub state: ReshardingState,
    pub agent: MemberAgent,
    pub clients: BTreeMap<u64, ClientRequest>,
    /// The values that were read of the chunks in progress, by assignment and token.
    pub copied_values: BTreeMap<(Index, u64), Vec<u64>>,
    next_apply: u64,
}

/// An entry of the log. Its index is its position, counted from 1.
#[derive(Debug)]
pub struct LogEntry {
    pub time_ms: u64,
    pub issuer: MemberId,
    pub command: Command,
}

pub struct Simulation {
    pub rng: SmallRng,
    pub now: u64,
    pub log: Vec<LogEntry>,
    pub members: Vec<Member>,
    pub leader: Option<usize>,
    leader_until: u64,
    pub leader_state: Leader,
    /// By arrival time and id.
    pub messages: BTreeMap<(u64, u64), Message>,
    /// The value of each block on each backend.
    pub backends: BTreeMap<BackendId, BTreeMap<u64, u64>>,
    pub failed_backends: BTreeSet<BackendId>,
    pub history: History,
    /// For each block, the epoch of its newest placement that some member may use without a lease.
    pub released_epochs: BTreeMap<u64, Index>,
    pub last_id: u64,
    /// The probability that a member stalls immediately before it sends a command.
    pub stall_probability: f64,
    /// Whether the migrator stalls immediately before it sends the next write of a copy.
    pub delays_next_copy: bool,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability of a new client in each tick, for each member.
    pub load: f64,
    pub stats: BTreeMap<&'static str, u64>,
    pub longest_wait: u64,
    pub violations: Vec<String>,
}

pub fn volume() -> Volume {
    Volume::from("0000000000000001")
}

impl Simulation {
    pub fn new(seed: u64, members: usize, blocks: u64, backend: &str) -> Simulation {
        let mut sim = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            log: Vec::new(),
            members: Vec::new(),
            leader: None,
            leader_until: 0,
            leader_state: Leader::new(settings()),
            messages: BTreeMap::new(),
            backends: ["a", "b", "c"].into_iter().map(|id| (BackendId::from(id), BTreeMap::new())).collect(),
            failed_backends: BTreeSet::new(),
            history: History::default(),
            released_epochs: BTreeMap::new(),
            last_id: 0,
            stall_probability: 0.0,
            delays_next_copy: false,
            loss: 0.0,
            load: 0.2,
            stats: BTreeMap::new(),
            longest_wait: 0,
            violations: Vec::new(),
        };
        (0..members).for_each(|number| sim.add_member(number));
        let ranges = vec![(BlockRange { first: 0, end: blocks }, BackendId::from(backend))];
        sim.append(MemberId::from("f0"), Command::Adopt { volume: volume(), ranges });
        sim
    }

    fn add_member(&mut self, number: usize) {
        let name = MemberId::from(format!("f{number}").as_str());
        let incarnation = 1;
        self.append(name.clone(), Command::Join { incarnation });
        let state = ReshardingState::new();
        let agent = new_agent(&name, incarnation, &state, self.local_time(number));
        self.members.push(Member {
            name,
            is_running: true,
            is_cut_off: false,
            stalled_until: 0,
            incarnation,
            state,
            agent,
            clients: BTreeMap::new(),
            copied_values: BTreeMap::new(),
            next_apply: 0,
        });
    }

    /// The local clock of a member. Clocks differ in origin and slightly in rate.
    pub fn local_time(&self, number: usize) -> Time {
        let rate_permille = [1000, 1004, 997, 1002, 996][number % 5];
        Time(7_000_000 * (number as u64 + 1) + self.now * rate_permille / 1000)
    }

    pub fn append(&mut self, issuer: MemberId, command: Command) {
        self.log.push(LogEntry { time_ms: self.now / 1000, issuer, command });
    }

    pub fn count(&mut self, name: &'static str) {
        *self.stats.entry(name).or_default() += 1;
    }

    pub fn is_active(&self, number: usize) -> bool {
        self.members[number].is_running && self.members[number].stalled_until <= self.now
    }

    pub fn is_connected(&self, number: usize) -> bool {
        self.is_active(number) && !self.members[number].is_cut_off
    }

    /// Checks that no block has lost an answered write on the backend on which it is placed.
    pub fn check_blocks(&mut self, placement: &Placement) {
        for block in self.history.blocks() {
            let blocks = BlockRange { first: block, end: block + 1 };
            let place = &placement.lookup(&volume(), blocks).unwrap()[0];
            let value = self.stored_values(place)[0];
            let found = self.history.check_read(block, value, self.now);
            self.violations.extend(found.err());
        }
    }
}
