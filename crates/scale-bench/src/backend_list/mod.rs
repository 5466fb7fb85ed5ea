//! The scheduler with a list of many backends: `scheduler::Scheduler` unmodified.
mod request_costs;

use crate::quantiles::Quantiles;
use crate::{cpu_time, memory, Error, Plan, Run};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::{self, *};
use scheduler::Scheduler;

/// Number of requests of each volume.
const REQUESTS_PER_VOLUME: u32 = 4;
/// Number of times the full list is sent again.
const FULL_LISTS: u32 = 10;
/// Zones over which backends are spread.
const ZONES: u64 = 12;
/// Clock advance between two events, in microseconds.
const CLOCK_STEP_US: i64 = 1_000;
/// A timeout far longer than a run, so that no request expires by itself.
const LONG_TIMEOUT: Micros = Micros(600_000_000);
/// Time that a backend takes to answer.
const ATTEMPT_TIME: Micros = Micros(2_000);

/// Parameters varied besides the size.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of gateways that share the backends.
    pub gateways: u32,
    /// Numbers of volumes with traffic.
    pub volumes: Vec<u32>,
    /// Number of backends that change state in a run.
    pub changes: u32,
}

/// Backends with one shard each, all ready.
pub fn entries(size: u64) -> Vec<BackendEntry> {
    (0..size).map(|n| entry(n, BackendState::Ready)).collect()
}

fn entry(n: u64, state: BackendState) -> BackendEntry {
    let backend = BackendId(format!("box-{n:05}").into());
    BackendEntry { backend, state, started_at: None, shard: ShardId(n as u32), zone: (n % ZONES) as u32 }
}

/// Settings as in the project's configuration files, with a class of long deadlines before the usual one.
fn settings(gateways: u32) -> Settings {
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
        gateways,
        classes: vec![class(LONG_TIMEOUT, LONG_TIMEOUT), class(Micros(250_000), Micros(1_200_000))],
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

/// A read of one unit with a long timeout.
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
        timeout: LONG_TIMEOUT,
    }
}

/// A scheduler and the actions that it has returned.
pub struct SchedulerHarness {
    scheduler: Scheduler,
    now: i64,
    sent: Vec<(RequestId, BackendId)>,
    sent_count: u64,
    rejected_count: u64,
    actions: Vec<Action>,
}

impl SchedulerHarness {
    /// Creates a scheduler that knows no backends.
    pub fn new(gateways: u32, seed: u64) -> Result<SchedulerHarness, Error> {
        let scheduler =
            Scheduler::new(settings(gateways), seed).map_err(|e| Error::component("scheduler", e))?;
        Ok(SchedulerHarness {
            scheduler,
            now: 1_000_000,
            sent: Vec::new(),
            sent_count: 0,
            rejected_count: 0,
            actions: Vec::new(),
        })
    }

    /// Handles an event and returns the processor time taken, in microseconds.
    fn handle(&mut self, event: Event) -> f64 {
        self.now += CLOCK_STEP_US;
        let (scheduler, actions, now) = (&mut self.scheduler, &mut self.actions, Micros(self.now));
        let ((), took) = cpu_time::measure(|| scheduler.handle(now, event, actions));
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, backend, .. } => {
                    self.sent_count += 1;
                    self.sent.push((id, backend));
                }
                Action::Reject { .. } => self.rejected_count += 1,
                _ => {}
            }
        }
        took
    }

    /// Sends the full backend list.
    pub fn set_full_list(&mut self, entries: Vec<BackendEntry>) -> f64 {
        self.handle(Event::Endpoints(EndpointUpdate::Full(entries)))
    }

    fn change_state(&mut self, index: u64, state: BackendState) -> f64 {
        self.handle(Event::Endpoints(EndpointUpdate::Delta(vec![entry(index, state)])))
    }

    /// Sends requests of the given number of volumes, spread over the shards. Every other request that is sent is
    /// served; the rest stay open, so that the volumes always have requests waiting or outstanding.
    pub fn send_traffic(&mut self, size: u64, volumes: u32) {
        for n in 0..u64::from(volumes) * u64::from(REQUESTS_PER_VOLUME) {
            let volume = n % u64::from(volumes);
            let request = request(n + 1, volume, ShardId((n % size) as u32));
            self.handle(Event::RequestArrived(request));
        }
        for (id, backend) in std::mem::take(&mut self.sent).into_iter().step_by(2) {
            self.end_request(id, backend);
        }
    }
}

/// Measures each size with each number of volumes.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for run_key in plan.runs() {
        for volumes in &options.volumes {
            let mut run = measure_run(plan, options, run_key, *volumes)?;
            let (gateways, size) = (options.gateways.to_string(), run_key.0.to_string());
            let args = ["list", "--size", &size, "--hosts", &gateways, "--volumes", &volumes.to_string()]
                .map(String::from);
            memory::record_in_child(plan, &args, &mut run);
            runs.push(run.log_finished());
        }
    }
    Ok(runs)
}

fn measure_run(plan: &Plan, options: &Options, run_key: (u64, u32, u64), volumes: u32) -> Result<Run, Error> {
    let (size, _, seed) = run_key;
    let deadline = plan.deadline();
    let mut run = Run::new(format!("{volumes} volumes"), run_key);
    let mut harness = SchedulerHarness::new(options.gateways, seed)?;
    run.record("first_list_us", harness.set_full_list(entries(size)));
    harness.send_traffic(size, volumes);
    run.record("requests_refused", harness.rejected_count as f64);
    run.record("requests_sent", harness.sent_count as f64);
    run.record("requests_arrived", f64::from(volumes * REQUESTS_PER_VOLUME));
    let mut full_lists = Quantiles::new()?;
    for _ in 0..FULL_LISTS {
        full_lists.record(harness.set_full_list(entries(size)));
    }
    full_lists.record_in("whole_list", "us", &mut run);
    // Backends drain and become ready again, one after the other.
    let (mut rng, mut changes) = (SmallRng::seed_from_u64(seed), Quantiles::new()?);
    for n in 0..options.changes {
        if deadline.has_passed() {
            run.mark_incomplete(format!("{n} of {} changes within the time limit of a run", options.changes));
            break;
        }
        let index = rng.random_range(0..size);
        changes.record(harness.change_state(index, BackendState::Draining));
        changes.record(harness.change_state(index, BackendState::Ready));
    }
    changes.record_in("change", "us", &mut run);
    run.record("changes", changes.count() as f64);
    request_costs::measure(&mut harness, size, &mut run)?;
    run.record("known_nodes", harness.scheduler.known_counts().backends as f64);
    Ok(run)
}
