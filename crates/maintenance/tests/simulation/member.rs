//! A simulated member: its copy of the state, its agent, and a scheduler that sends requests to backends. Times are in
//! milliseconds unless stated otherwise.
use super::support::*;
use cluster_types::{BackendId, Index, MemberId, Time};
use maintenance::{
    Action, Command, Event, MaintenanceState, MemberAgent, PersistedOrders, Presence, Report, StageTimer,
};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after an order the scheduler may still send requests to a backend.
pub const DRAIN_DELAY_MS: u64 = 250;
/// The members' Unix time at the start, before their clock offsets.
const START_UNIX_MS: i64 = 1_000_000;

/// A log entry.
#[derive(Clone)]
pub struct LogEntry {
    pub index: Index,
    pub time_ms: u64,
    pub issuer: MemberId,
    pub command: Command,
}

/// Orders that are being written to the disk.
struct PendingWrite {
    due: u64,
    serial: u64,
    orders: PersistedOrders,
}

/// A request in flight at a backend.
struct InFlight {
    backend: BackendId,
    ends: u64,
}

pub struct SimulatedMember {
    pub name: MemberId,
    pub incarnation: u64,
    pub is_running: bool,
    pub stalled_until: u64,
    pub group: u8,
    /// The error of the member's Unix time.
    pub clock_offset: i64,
    /// The value of the member's monotonic clock at the start of the simulation, in microseconds.
    steady_clock_origin_us: u64,
    pub state: MaintenanceState,
    pub stage_timer: StageTimer,
    agent: Option<MemberAgent>,
    disk: Option<PersistedOrders>,
    writes: Vec<PendingWrite>,
    /// The times from which on the scheduler sends no new requests to a backend.
    send_stop_times: BTreeMap<BackendId, u64>,
    /// The times at which the agent first ordered this.
    drain_order_times: BTreeMap<BackendId, u64>,
    last_send_times: BTreeMap<BackendId, u64>,
    in_flight: Vec<InFlight>,
    /// Commands to send to the log.
    pub outbox: Vec<Command>,
}

impl SimulatedMember {
    pub fn new(number: u64, rng: &mut SmallRng, state: &MaintenanceState) -> SimulatedMember {
        let mut member = SimulatedMember {
            name: member(&format!("f{number}")),
            incarnation: 0,
            is_running: false,
            stalled_until: 0,
            group: 0,
            clock_offset: rng.random_range(-300_000..300_000),
            steady_clock_origin_us: rng.random_range(0..1 << 40),
            state: state.clone(),
            stage_timer: StageTimer::new(),
            agent: None,
            disk: None,
            writes: Vec::new(),
            send_stop_times: BTreeMap::new(),
            drain_order_times: BTreeMap::new(),
            last_send_times: BTreeMap::new(),
            in_flight: Vec::new(),
            outbox: Vec::new(),
        };
        member.start(0, rng);
        member
    }

    pub fn steady_time(&self, now: u64) -> Time {
        Time(self.steady_clock_origin_us + now * 1000)
    }

    pub fn unix_ms(&self, now: u64) -> u64 {
        (now as i64 + START_UNIX_MS + self.clock_offset).max(0) as u64
    }

    pub fn is_active(&self, now: u64) -> bool {
        self.is_running && now >= self.stalled_until
    }

    /// Stops the process. Unfinished writes to the disk are lost.
    pub fn crash(&mut self) {
        self.is_running = false;
        self.agent = None;
        self.send_stop_times.clear();
        self.drain_order_times.clear();
        self.last_send_times.clear();
        self.in_flight.clear();
        self.writes.clear();
        self.outbox.clear();
    }

    pub fn start(&mut self, now: u64, rng: &mut SmallRng) {
        let mut actions = Vec::new();
        self.is_running = true;
        self.incarnation += 1;
        self.stage_timer = StageTimer::new();
        let drain_delay = Duration::from_millis(DRAIN_DELAY_MS);
        let agent = MemberAgent::new(drain_delay, self.disk.clone(), self.steady_time(now), &mut actions);
        self.agent = Some(agent);
        self.carry_out(now, actions, rng);
        // Persisted drains are in effect immediately.
        self.send_stop_times.values_mut().for_each(|at| *at = now);
        let presence = Presence::Present { incarnation: self.incarnation };
        self.outbox.push(Command::SetPresence { member: self.name.clone(), presence });
    }

    pub fn handle(&mut self, now: u64, event: Event, rng: &mut SmallRng) {
        let (steady_time, mut actions) = (self.steady_time(now), Vec::new());
        if let Some(agent) = &mut self.agent {
            agent.handle(steady_time, event, &mut actions);
        }
        self.carry_out(now, actions, rng);
    }

    fn carry_out(&mut self, now: u64, actions: Vec<Action>, rng: &mut SmallRng) {
        for action in actions {
            match action {
                Action::Drain { backend, .. } => {
                    self.drain_order_times.entry(backend.clone()).or_insert(now);
                    let stop = now + rng.random_range(0..DRAIN_DELAY_MS);
                    self.send_stop_times
                        .entry(backend)
                        .and_modify(|at| *at = (*at).min(stop))
                        .or_insert(stop);
                }
                Action::Undrain { backend, .. } => {
                    self.send_stop_times.remove(&backend);
                    self.drain_order_times.remove(&backend);
                }
                Action::Persist { serial, orders } => {
                    self.writes.push(PendingWrite { due: now + rng.random_range(0..60), serial, orders });
                }
                Action::Report(Report::Drained { grant }) => {
                    self.outbox.push(Command::ReportDrained { grant, member: self.name.clone() });
                }
                Action::Report(Report::StageAcknowledged { backend, step }) => {
                    let member = self.name.clone();
                    self.outbox.push(Command::AcknowledgeStage { backend, step, member });
                }
            }
        }
    }

    /// Whether the member no longer sends requests to a backend, and none is in flight there.
    pub fn is_idle(&self, now: u64, backend: &BackendId) -> bool {
        let has_stopped = self.send_stop_times.get(backend).is_some_and(|at| *at <= now);
        let is_in_flight = self.in_flight.iter().any(|request| request.backend == *backend);
        !self.is_running || (has_stopped && !is_in_flight)
    }

    /// Runs one step of the process: disk, scheduler, measurements and agent. Returns the backends it sent requests to.
    pub fn run_turn(&mut self, now: u64, backends: &[BackendId], rng: &mut SmallRng) -> Vec<BackendId> {
        self.complete_writes(now, rng);
        self.in_flight.retain(|request| request.ends > now);
        let sent = self.send_requests(now, backends, rng);
        if rng.random_bool(0.1) {
            self.measure(now, backends, rng);
        }
        self.handle(now, Event::Tick, rng);
        sent
    }

    fn complete_writes(&mut self, now: u64, rng: &mut SmallRng) {
        for write in std::mem::take(&mut self.writes) {
            if write.due <= now {
                self.disk = Some(write.orders);
                self.handle(now, Event::Persisted { serial: write.serial }, rng);
            } else {
                self.writes.push(write);
            }
        }
    }

    fn send_requests(&mut self, now: u64, backends: &[BackendId], rng: &mut SmallRng) -> Vec<BackendId> {
        let mut sent = Vec::new();
        for backend in backends {
            let may_send = self.send_stop_times.get(backend).is_none_or(|at| now < *at);
            if may_send && rng.random_bool(0.2) {
                let ordered = self.drain_order_times.get(backend);
                assert!(ordered.is_none_or(|at| now <= at + DRAIN_DELAY_MS), "later than the drain delay");
                let ends = now + rng.random_range(0..400);
                self.in_flight.push(InFlight { backend: backend.clone(), ends });
                self.last_send_times.insert(backend.clone(), now);
                sent.push(backend.clone());
            }
        }
        sent
    }

    fn measure(&mut self, now: u64, backends: &[BackendId], rng: &mut SmallRng) {
        for backend in backends {
            let in_flight =
                self.in_flight.iter().filter(|request| request.backend == *backend).count() as u32;
            let last_send = self.last_send_times.get(backend).map(|at| self.steady_time(*at));
            let measured_at = self.steady_time(now);
            let event = Event::InFlight { backend: backend.clone(), in_flight, last_send, measured_at };
            self.handle(now, event, rng);
        }
    }

    /// Applies a log entry and passes the resulting orders to the agent.
    pub fn apply(&mut self, now: u64, entry: &LogEntry, rng: &mut SmallRng) {
        self.state.apply(entry.index, entry.time_ms, &entry.issuer, &entry.command);
        let orders = self.state.orders(&self.name);
        self.handle(now, Event::Orders { index: entry.index, orders }, rng);
    }
}
