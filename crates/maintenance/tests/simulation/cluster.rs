//! The simulated cluster: an idealised log with partitions and delays, backends that fail and warm up, and operators that
//! repeat their calls. Times are in milliseconds.
use super::simulated_member::{LogEntry, SimulatedMember};
use super::support::invariants::{InvariantChecker, Transition};
use super::support::*;
use cluster_types::{BackendId, Index, MemberId};
use maintenance::{ClusterView, Command, Effect, Event, MaintenanceState, MemberStatus, Presence, Rules};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const BACKENDS: &str = "a1 a2 a3 b1 b2 b3 c1 c2 c3";
pub const MEMBERS: usize = 5;
const STEP_MS: u64 = 10;
const LEASE: Duration = Duration::from_millis(800);
/// How long a returned backend warms up.
const WARM_UP_MS: u64 = 1500;

/// A command in transit to the log.
struct Message {
    due: u64,
    sender: usize,
    time_ms: u64,
    issuer: MemberId,
    command: Command,
}

/// A drained backend on which operators are working.
pub struct OpenBackend {
    pub request: String,
    /// When the operators have finished their work.
    pub until: u64,
}

pub struct SimulatedCluster {
    pub rng: SmallRng,
    pub now: u64,
    pub members: Vec<SimulatedMember>,
    /// The state after the last committed entry.
    pub state: MaintenanceState,
    log: Vec<LogEntry>,
    messages: Vec<Message>,
    checker: InvariantChecker,
    rules: Rules,
    pub view: ClusterView,
    /// When returned backends will have warmed up.
    warm_up_ends: BTreeMap<BackendId, u64>,
    pub open: BTreeMap<BackendId, OpenBackend>,
    pub submitted: BTreeMap<String, Command>,
    pub max_granted: usize,
    pub is_faulty: bool,
    pub drained_count: usize,
}

impl SimulatedCluster {
    pub fn new(seed: u64) -> SimulatedCluster {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rules = Rules { stage_ms: 500, ..rules(3, 2, 2) };
        let volumes = [("v", 100, "a1 b1 c1"), ("w", 100, "a2 b2 c2"), ("x", 200, "a3 b3 c3")];
        let state = MaintenanceState::new(Rules::default());
        let members =
            (1..=MEMBERS as u64).map(|number| SimulatedMember::new(number, &mut rng, &state)).collect();
        let mut cluster = SimulatedCluster {
            rng,
            now: 0,
            members,
            state,
            log: Vec::new(),
            messages: Vec::new(),
            checker: InvariantChecker::default(),
            rules: rules.clone(),
            view: view(BACKENDS, &volumes),
            warm_up_ends: BTreeMap::new(),
            open: BTreeMap::new(),
            submitted: BTreeMap::new(),
            max_granted: 0,
            is_faulty: true,
            drained_count: 0,
        };
        cluster.commit(1_000_000, member("op"), Command::SetRules(rules));
        cluster
    }

    /// Whether a member is on the side of a partition that has a quorum.
    fn has_quorum(&self, number: usize) -> bool {
        let group = self.members[number].group;
        let side = self.members.iter().filter(|member| member.group == group).count();
        side * 2 > self.members.len()
    }

    fn commit(&mut self, time_ms: u64, issuer: MemberId, command: Command) {
        let index = Index(self.state.applied().0 + 1);
        let before = self.state.clone();
        let effects = self.state.apply(index, time_ms, &issuer, &command);
        let transition = Transition {
            before: &before,
            after: &self.state,
            issuer: &issuer.0,
            command: &command,
            effects: &effects,
        };
        self.checker.check(&self.view, &self.rules, &transition);
        for effect in &effects {
            match effect {
                Effect::Drained { backends, name, .. } => self.open_backends(name, backends),
                Effect::Recovering { backend, .. } => {
                    self.open.remove(backend);
                    self.view.backends.entry(backend.clone()).and_modify(|facts| facts.is_warming_up = true);
                    self.warm_up_ends.insert(backend.clone(), self.now + WARM_UP_MS);
                }
                _ => {}
            }
        }
        let granted = self.state.grants().map(|(_, grant)| grant.backends.len()).sum();
        self.max_granted = self.max_granted.max(granted);
        self.log.push(LogEntry { index, time_ms, issuer, command });
    }

    fn open_backends(&mut self, name: &str, backends: &BTreeSet<BackendId>) {
        let present: BTreeSet<&MemberId> = self.state.present_members().collect();
        for backend in backends {
            for member in &self.members {
                let is_idle = !present.contains(&member.name) || member.is_idle(self.now, backend);
                assert!(is_idle, "{backend} is reported as drained, and {} still sends", member.name);
            }
        }
        let until = self.now + self.rng.random_range(100..3000);
        for backend in backends {
            self.open.insert(backend.clone(), OpenBackend { request: name.into(), until });
        }
        self.drained_count += 1;
    }

    /// Sends a command to the log. While faults are injected, it may be lost or delayed for longer.
    pub fn send(&mut self, sender: usize, issuer: MemberId, command: Command) {
        let due = self.now + self.rng.random_range(0..if self.is_faulty { 400 } else { 30 });
        if !(self.is_faulty && self.rng.random_bool(0.1)) {
            let time_ms = self.members[sender].unix_ms(self.now);
            self.messages.push(Message { due, sender, time_ms, issuer, command });
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.end_warm_ups();
        self.deliver_messages();
        let backends: Vec<BackendId> = self.view.backends.keys().cloned().collect();
        let mut members = 0..MEMBERS;
        let leader =
            members.find(|number| self.has_quorum(*number) && self.members[*number].is_active(self.now));
        for number in 0..MEMBERS {
            if self.members[number].is_active(self.now) {
                self.step_member(number, leader, &backends);
            }
        }
        self.call_as_operators();
    }

    fn end_warm_ups(&mut self) {
        let ended = self.warm_up_ends.iter().filter(|(_, at)| **at <= self.now);
        let ended: Vec<BackendId> = ended.map(|(backend, _)| backend.clone()).collect();
        for backend in ended {
            self.warm_up_ends.remove(&backend);
            self.view.backends.entry(backend).and_modify(|facts| facts.is_warming_up = false);
        }
    }

    fn deliver_messages(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            if message.due > self.now {
                self.messages.push(message);
            } else if self.has_quorum(message.sender) {
                self.commit(message.time_ms, message.issuer, message.command);
            }
        }
    }

    fn step_member(&mut self, number: usize, leader: Option<usize>, backends: &[BackendId]) {
        let now = self.now;
        if self.has_quorum(number) {
            self.apply_log_entries(number);
        }
        for backend in self.members[number].run_turn(now, backends, &mut self.rng) {
            let is_open = self.open.contains_key(&backend);
            assert!(!is_open, "{} sends to {backend}, which is open", self.members[number].name);
        }
        for command in std::mem::take(&mut self.members[number].outbox) {
            // A member repeats its presence report until it has applied it.
            if self.is_unconfirmed_presence(number, &command) {
                self.members[number].outbox.push(command.clone());
                if !self.rng.random_bool(0.05) {
                    continue;
                }
            }
            let issuer = self.members[number].name.clone();
            self.send(number, issuer, command);
        }
        // Members that are not the leader also propose occasionally, as a deposed leader might.
        if self.rng.random_bool(if leader == Some(number) { 0.2 } else { 0.01 }) {
            self.propose(number);
        }
    }

    fn apply_log_entries(&mut self, number: usize) {
        while self.rng.random_bool(0.6) {
            let position = self.members[number].state.applied().0 as usize;
            let Some(entry) = self.log.get(position).cloned() else { break };
            self.members[number].apply(self.now, &entry, &mut self.rng);
        }
        if self.rng.random_bool(0.05) {
            let until = self.members[number].steady_time(self.now) + LEASE;
            self.members[number].handle(self.now, Event::LeaseRenewed { until }, &mut self.rng);
        }
    }

    fn is_unconfirmed_presence(&self, number: usize, command: &Command) -> bool {
        let Command::SetPresence { presence: Presence::Present { .. }, member } = command else {
            return false;
        };
        let sender = &self.members[number];
        let expected = MemberStatus::Present { incarnation: sender.incarnation };
        sender.state.member_status(member) != Some(expected)
    }
}
