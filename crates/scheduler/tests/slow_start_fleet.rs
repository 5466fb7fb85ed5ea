//! Slow start of a whole fleet: the requests of mean size that all gateways send to a backend in a window
//! stay below the budget of N requests, plus 2 √N + 2 for random variation.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::*;

const GATEWAYS: usize = 30;
const STEP_US: i64 = 2 * MS;
/// Service time of a request at the backend.
const SERVICE_TIME_US: i64 = 60 * MS;

#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// Each gateway has the same traffic as before the backend's start.
    Unchanged,
    /// The shares are reversed: gateways with the least traffic get the most.
    Reversed,
    /// All gateways get three times as much traffic as before.
    Tripled,
    /// All gateways have just restarted.
    GatewaysRestarted,
}

fn fleet_settings(units: f64) -> Settings {
    let class = Class { latency_objective: Micros(250 * MS), deadline: Micros(1200 * MS), ..class() };
    Settings {
        gateways: GATEWAYS as u32,
        classes: vec![class],
        plans: vec![Plan { reservation: units, ..plan() }],
        max_request_units: 6.0,
        mean_request_units: 2.0,
        max_attempts: 1,
        slow_start: SlowStart {
            safe_units: units,
            window: Micros(SECOND),
            initial_capacity: 0.2,
            duration: Micros(18 * SECOND),
            overload_factor: 2.0,
        },
        ..default_settings()
    }
}

/// A gateway's share of the traffic, which is as uneven as that of volumes.
fn traffic_share(n: usize) -> f64 {
    let sum: f64 = (1..=GATEWAYS).map(|k| 1.0 / k as f64).sum();
    1.0 / (n + 1) as f64 / sum
}

/// Gateways, their attempts in flight and what they have sent.
struct Fleet {
    gateways: Vec<Gateway>,
    rng: SmallRng,
    in_flight: Vec<(i64, usize, u64)>,
    sends: Vec<(i64, f64)>,
    units: std::collections::BTreeMap<u64, f64>,
    next_id: u64,
}

impl Fleet {
    fn new(settings: &Settings, seed: u64) -> Fleet {
        let gateways =
            (0..GATEWAYS).map(|n| Gateway::seeded(settings.clone(), seed * 1000 + n as u64)).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { gateways, rng, in_flight: vec![], sends: vec![], units: Default::default(), next_id: 1 }
    }

    fn record_sends(&mut self, n: usize, actions: &[Action]) {
        for id in sent(actions) {
            let now = self.gateways[n].now;
            self.in_flight.push((now + SERVICE_TIME_US, n, id));
            self.sends.push((now, self.units[&id]));
        }
    }

    /// Advances the clock by `time` microseconds; each gateway's clients send requests at its rate in units
    /// per second.
    fn run(&mut self, time: i64, rates: &[f64]) {
        for _ in 0..time / STEP_US {
            for (n, rate) in rates.iter().enumerate() {
                let actions = self.gateways[n].advance(STEP_US);
                self.record_sends(n, &actions);
                if self.rng.random_bool((rate / 2.0 * STEP_US as f64 / 1e6).min(1.0)) {
                    // Mostly one to three units, and sometimes the maximum; the mean is 2.
                    let units =
                        [1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 6.0][self.rng.random_range(0..10)];
                    let id = self.next_id;
                    self.next_id += 1;
                    self.units.insert(id, units);
                    let volume = VolumeId(format!("v{}", self.rng.random_range(0..4)).into());
                    let asked = Request { units, volume, volume_gateways: GATEWAYS as u32, ..request(id) };
                    let actions = self.gateways[n].arrive(Request { timeout: Micros(1200 * MS), ..asked });
                    self.record_sends(n, &actions);
                }
            }
            let now = self.gateways[0].now;
            let completed: Vec<_> = self.in_flight.iter().copied().filter(|(at, ..)| *at <= now).collect();
            self.in_flight.retain(|(at, ..)| *at > now);
            for (_, n, id) in completed {
                let actions = self.gateways[n].end_attempt(id, AttemptOutcome::Ok, SERVICE_TIME_US);
                self.record_sends(n, &actions);
            }
        }
    }
}

/// Returns by how many requests the fleet exceeds the budget and the allowance for variation at most, and the
/// mean share of the budget that it uses.
fn excess_and_utilization(traffic: Traffic, units: f64, seed: u64) -> (f64, f64) {
    let settings = fleet_settings(units);
    let mut fleet = Fleet::new(&settings, seed);
    // The full capacity follows from the budget; the usual traffic takes somewhat more than half of it.
    let usual = 0.6 * units / settings.slow_start.overload_factor / settings.slow_start.initial_capacity;
    let mut rates: Vec<f64> = (0..GATEWAYS).map(|n| usual * traffic_share(n)).collect();
    fleet.run(20 * SECOND, &rates);
    match traffic {
        Traffic::Unchanged => {}
        Traffic::Reversed => rates.reverse(),
        Traffic::Tripled => rates.iter_mut().for_each(|r| *r *= 3.0),
        Traffic::GatewaysRestarted => {
            let now = fleet.gateways[0].now;
            fleet.gateways = Fleet::new(&settings, seed + 500).gateways;
            fleet.gateways.iter_mut().for_each(|h| h.now = now);
            fleet.in_flight.clear();
        }
    }
    let started = fleet.gateways[0].now;
    let gone = BackendEntry { state: BackendState::Gone, ..entry("a", 0) };
    let added = BackendEntry { started_at: Some(Micros(started)), ..entry("c", 0) };
    for n in 0..GATEWAYS {
        let update = EndpointUpdate::Delta(vec![gone.clone(), added.clone()]);
        let actions = fleet.gateways[n].notify(Event::Endpoints(update));
        fleet.record_sends(n, &actions);
    }
    fleet.sends.retain(|(at, _)| *at >= started);
    fleet.run(settings.slow_start.duration.0, &rates);
    let (mut max_excess, mut shares, mut windows) = (f64::MIN, 0.0, 0.0);
    let growth = |age: f64| {
        1.0 + (1.0 / settings.slow_start.initial_capacity - 1.0) * age / settings.slow_start.duration.0 as f64
    };
    for from in (0..settings.slow_start.duration.0 - settings.slow_start.window.0).step_by(50_000) {
        let window = started + from..started + from + settings.slow_start.window.0;
        let sum: f64 = fleet.sends.iter().filter(|(at, _)| window.contains(at)).map(|(_, u)| u).sum();
        let requests = sum / settings.mean_request_units;
        let budget = units / settings.mean_request_units
            * growth(from as f64 + settings.slow_start.window.0 as f64 / 2.0);
        max_excess = max_excess.max(requests - (budget + 2.0 * budget.sqrt() + 2.0));
        (shares, windows) = (shares + requests / budget, windows + 1.0);
    }
    (max_excess, shares / windows)
}

#[test]
fn fleet_stays_within_slow_start_budget() {
    let mut violations = vec![];
    for traffic in [Traffic::Unchanged, Traffic::Reversed, Traffic::Tripled, Traffic::GatewaysRestarted] {
        for units in [11.0, 40.0] {
            let (mut highest_excess, mut utilization) = (f64::MIN, 0.0);
            for seed in 1..=6 {
                let (max_excess, share) = excess_and_utilization(traffic, units, seed);
                highest_excess = highest_excess.max(max_excess);
                utilization += share / 6.0;
            }
            println!("{traffic:?}, {units} units: {highest_excess:.1} requests over the bound at the most, {utilization:.2} of the budget used");
            if highest_excess > 0.0 {
                violations.push((traffic, units, highest_excess));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:?}");
}
