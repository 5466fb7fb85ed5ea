//! The decision module with a list of many boxes: `scheduler::Scheduler` as it stands.
mod requests;

use crate::quantiles::Quantiles;
use crate::{cpu, memory, Error, Plan, Play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::{self, *};
use scheduler::Scheduler;

/// Requests that each volume has sent.
const REQUESTS: u32 = 4;
/// How often the whole list is told again.
const WHOLES: u32 = 10;
/// Zones over which boxes are spread.
const ZONES: u64 = 12;
/// Between two events, in microseconds.
const STEP: i64 = 1_000;
/// Seconds that fit in a request's time many times over, so that none ends by itself.
const LONG: Micros = Micros(600_000_000);
/// What a box takes to answer.
const TOOK: Micros = Micros(2_000);

/// What is varied besides the size.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fronts that share the boxes.
    pub hosts: u32,
    /// Volumes that have traffic.
    pub volumes: Vec<u32>,
    /// Changes of one entry in a play.
    pub changes: u32,
}

/// Boxes of as many shards, all ready.
pub fn entries(size: u64) -> Vec<BackendEntry> {
    (0..size).map(|n| entry(n, BackendState::Ready)).collect()
}

fn entry(n: u64, state: BackendState) -> BackendEntry {
    let backend = BackendId(format!("box-{n:05}").into());
    BackendEntry { backend, state, started_at: None, shard: ShardId(n as u32), zone: (n % ZONES) as u32 }
}

/// Settings as a file of the project has them, with a class of long times before the usual one.
fn settings(hosts: u32) -> Settings {
    let class = |latency_objective, deadline| Class {
        latency_objective,
        deadline,
        priority_weight: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_window: Micros(1_000_000),
        in_order: false,
    };
    let plan = |reservation| interface::Plan { reservation, weight: 1.0, limit_rate: 0.0, limit_burst: 0.0 };
    let slow_start = SlowStart {
        safe_units: 11.0,
        window: Micros(1_000_000),
        initial_capacity: 0.18,
        duration: Micros(18_000_000),
        overload_factor: 2.0,
    };
    Settings {
        gateways: hosts,
        classes: vec![class(LONG, LONG), class(Micros(250_000), Micros(1_200_000))],
        plans: vec![plan(1.7), plan(500.0)],
        max_request_units: 6.0,
        mean_request_units: 1.96,
        reports_remote_units: true,
        max_attempts: 3,
        max_retry_after: Micros(1_000_000),
        connect_timeout: Micros(250_000),
        tick: Micros(2_000),
        discovery_mode: DiscoveryMode::Push,
        max_poll_interval: Micros(10_000_000),
        slow_start,
        ordering_pause: Micros(0),
        retry_budget: None,
    }
}

/// A read of one unit that waits for long.
fn request(id: u64, volume: u64, shard: ShardId) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 1,
        volume: VolumeId(format!("{volume:016x}").into()),
        key: None,
        shard: Some(shard),
        units: 1.0,
        volume_gateways: 1,
        timeout: LONG,
    }
}

/// The module, and what it said.
pub struct Table {
    scheduler: Scheduler,
    now: i64,
    sent: Vec<(RequestId, BackendId)>,
    sends: u64,
    refused: u64,
    actions: Vec<Action>,
}

impl Table {
    /// A module that knows nothing yet.
    pub fn new(hosts: u32, seed: u64) -> Result<Table, Error> {
        let scheduler = Scheduler::new(settings(hosts), seed).map_err(|e| Error::part("module", e))?;
        Ok(Table { scheduler, now: 1_000_000, sent: Vec::new(), sends: 0, refused: 0, actions: Vec::new() })
    }

    /// Tells it, and gives the microseconds of processor time that it took.
    fn tell(&mut self, event: Event) -> f64 {
        self.now += STEP;
        let (scheduler, actions, now) = (&mut self.scheduler, &mut self.actions, Micros(self.now));
        let ((), took) = cpu::timed(|| scheduler.handle(now, event, actions));
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, backend: node, .. } => {
                    self.sends += 1;
                    self.sent.push((id, node));
                }
                Action::Reject { .. } => self.refused += 1,
                _ => {}
            }
        }
        took
    }

    /// Tells the whole list.
    pub fn whole(&mut self, entries: Vec<BackendEntry>) -> f64 {
        self.tell(Event::Endpoints(EndpointUpdate::Full(entries)))
    }

    fn change(&mut self, n: u64, state: BackendState) -> f64 {
        self.tell(Event::Endpoints(EndpointUpdate::Delta(vec![entry(n, state)])))
    }

    /// Requests of so many volumes, spread over the shards. Of those that are sent every other one is served; the
    /// others stay open, so that the volumes have something waiting or out all the time.
    pub fn traffic(&mut self, size: u64, volumes: u32) {
        for n in 0..u64::from(volumes) * u64::from(REQUESTS) {
            let volume = n % u64::from(volumes);
            let request = request(n + 1, volume, ShardId((n % size) as u32));
            self.tell(Event::RequestArrived(request));
        }
        for (id, node) in std::mem::take(&mut self.sent).into_iter().step_by(2) {
            self.end(id, node);
        }
    }
}

/// Measures each size with each number of volumes.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    let mut plays = Vec::new();
    for at in plan.plays() {
        for volumes in &options.volumes {
            let mut played = play(plan, options, at, *volumes)?;
            let (hosts, size) = (options.hosts.to_string(), at.0.to_string());
            let words = ["list", "--size", &size, "--hosts", &hosts, "--volumes", &volumes.to_string()]
                .map(String::from);
            memory::put(plan, &words, &mut played);
            plays.push(played.done());
        }
    }
    Ok(plays)
}

fn play(plan: &Plan, options: &Options, at: (u64, u32, u64), volumes: u32) -> Result<Play, Error> {
    let (size, _, seed) = at;
    let bound = plan.bound();
    let mut play = Play::new(format!("{volumes} volumes"), at);
    let mut table = Table::new(options.hosts, seed)?;
    play.put("first_list_us", table.whole(entries(size)));
    table.traffic(size, volumes);
    play.put("requests_refused", table.refused as f64);
    play.put("requests_sent", table.sends as f64);
    play.put("requests_arrived", f64::from(volumes * REQUESTS));
    let mut wholes = Quantiles::new()?;
    for _ in 0..WHOLES {
        wholes.record(table.whole(entries(size)));
    }
    wholes.put("whole_list", "us", &mut play);
    // A box drains and comes back, one box after the other.
    let (mut rng, mut changes) = (SmallRng::seed_from_u64(seed), Quantiles::new()?);
    for n in 0..options.changes {
        if bound.passed() {
            play.partial(format!("{n} of {} changes in the time of a play", options.changes));
            break;
        }
        let which = rng.random_range(0..size);
        changes.record(table.change(which, BackendState::Draining));
        changes.record(table.change(which, BackendState::Ready));
    }
    changes.put("change", "us", &mut play);
    play.put("changes", changes.count() as f64);
    requests::measure(&mut table, size, &mut play)?;
    play.put("known_nodes", table.scheduler.known_counts().backends as f64);
    Ok(play)
}
