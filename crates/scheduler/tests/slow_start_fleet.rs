//! Slow start of a whole fleet: what all gateways send a backend in a window, in requests of mean size, stays under
//! the budget of N requests but for chance, 2 roots of N and 2.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::*;

const GATEWAYS: usize = 30;
const STEP: i64 = 2 * MS;
/// How long a request takes at the backend.
const SERVICE: i64 = 60 * MS;

#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// Each gateway goes on as before the backend's start.
    Stays,
    /// Gateways swap roles: those with the least traffic get the most.
    Moves,
    /// All gateways get three times as much as before.
    Swells,
    /// All gateways have just restarted.
    Restarts,
}

fn site_settings(units: f64) -> Settings {
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

/// A gateway's part of the traffic, uneven as that of volumes.
fn traffic_part(n: usize) -> f64 {
    let sum: f64 = (1..=GATEWAYS).map(|k| 1.0 / k as f64).sum();
    1.0 / (n + 1) as f64 / sum
}

/// Gateways, and what they send.
struct Fleet {
    gateways: Vec<Gateway>,
    rng: SmallRng,
    out: Vec<(i64, usize, u64)>,
    sends: Vec<(i64, f64)>,
    units: std::collections::BTreeMap<u64, f64>,
    next: u64,
}

impl Fleet {
    fn new(settings: &Settings, seed: u64) -> Fleet {
        let gateways =
            (0..GATEWAYS).map(|n| Gateway::seeded(settings.clone(), seed * 1000 + n as u64)).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { gateways, rng, out: vec![], sends: vec![], units: Default::default(), next: 1 }
    }

    fn record_sends(&mut self, n: usize, actions: &[Action]) {
        for id in sent(actions) {
            let now = self.gateways[n].now;
            self.out.push((now + SERVICE, n, id));
            self.sends.push((now, self.units[&id]));
        }
    }

    /// Lets so many microseconds pass; each gateway's clients ask for its rate of units per second.
    fn run(&mut self, time: i64, rates: &[f64]) {
        for _ in 0..time / STEP {
            for (n, rate) in rates.iter().enumerate() {
                let actions = self.gateways[n].advance(STEP);
                self.record_sends(n, &actions);
                if self.rng.random_bool((rate / 2.0 * STEP as f64 / 1e6).min(1.0)) {
                    // Mostly one to three units, at times the maximum: 2 in the mean.
                    let units =
                        [1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 6.0][self.rng.random_range(0..10)];
                    let id = self.next;
                    self.next += 1;
                    self.units.insert(id, units);
                    let volume = VolumeId(format!("v{}", self.rng.random_range(0..4)).into());
                    let asked = Request { units, volume, volume_gateways: GATEWAYS as u32, ..request(id) };
                    let actions = self.gateways[n].arrive(Request { timeout: Micros(1200 * MS), ..asked });
                    self.record_sends(n, &actions);
                }
            }
            let now = self.gateways[0].now;
            let done: Vec<_> = self.out.iter().copied().filter(|(at, ..)| *at <= now).collect();
            self.out.retain(|(at, ..)| *at > now);
            for (_, n, id) in done {
                let actions = self.gateways[n].end_attempt(id, AttemptOutcome::Ok, SERVICE);
                self.record_sends(n, &actions);
            }
        }
    }
}

/// By how many requests the fleet exceeds the budget and chance at most, and the mean share of the budget that it uses.
fn excess_and_use(traffic: Traffic, units: f64, seed: u64) -> (f64, f64) {
    let settings = site_settings(units);
    let mut fleet = Fleet::new(&settings, seed);
    // The full capacity follows from the budget; traffic takes somewhat more than half of it.
    let usual = 0.6 * units / settings.slow_start.overload_factor / settings.slow_start.initial_capacity;
    let mut rates: Vec<f64> = (0..GATEWAYS).map(|n| usual * traffic_part(n)).collect();
    fleet.run(20 * SECOND, &rates);
    match traffic {
        Traffic::Stays => {}
        Traffic::Moves => rates.reverse(),
        Traffic::Swells => rates.iter_mut().for_each(|r| *r *= 3.0),
        Traffic::Restarts => {
            let now = fleet.gateways[0].now;
            fleet.gateways = Fleet::new(&settings, seed + 500).gateways;
            fleet.gateways.iter_mut().for_each(|h| h.now = now);
            fleet.out.clear();
        }
    }
    let started = fleet.gateways[0].now;
    let gone = BackendEntry { state: BackendState::Gone, ..entry("a", 0) };
    let came = BackendEntry { started_at: Some(Micros(started)), ..entry("c", 0) };
    for n in 0..GATEWAYS {
        let update = EndpointUpdate::Delta(vec![gone.clone(), came.clone()]);
        let actions = fleet.gateways[n].notify(Event::Endpoints(update));
        fleet.record_sends(n, &actions);
    }
    fleet.sends.retain(|(at, _)| *at >= started);
    fleet.run(settings.slow_start.duration.0, &rates);
    let (mut most, mut shares, mut windows) = (f64::MIN, 0.0, 0.0);
    let growth = |age: f64| {
        1.0 + (1.0 / settings.slow_start.initial_capacity - 1.0) * age / settings.slow_start.duration.0 as f64
    };
    for from in (0..settings.slow_start.duration.0 - settings.slow_start.window.0).step_by(50_000) {
        let window = started + from..started + from + settings.slow_start.window.0;
        let sum: f64 = fleet.sends.iter().filter(|(at, _)| window.contains(at)).map(|(_, u)| u).sum();
        let calls = sum / settings.mean_request_units;
        let budget = units / settings.mean_request_units
            * growth(from as f64 + settings.slow_start.window.0 as f64 / 2.0);
        most = most.max(calls - (budget + 2.0 * budget.sqrt() + 2.0));
        (shares, windows) = (shares + calls / budget, windows + 1.0);
    }
    (most, shares / windows)
}

#[test]
fn thirty_gateways_stay_within_budget() {
    let mut broken = vec![];
    for traffic in [Traffic::Stays, Traffic::Moves, Traffic::Swells, Traffic::Restarts] {
        for units in [11.0, 40.0] {
            let (mut worst, mut used) = (f64::MIN, 0.0);
            for seed in 1..=6 {
                let (most, share) = excess_and_use(traffic, units, seed);
                worst = worst.max(most);
                used += share / 6.0;
            }
            println!("{traffic:?}, {units} units: {worst:.1} requests over the bound at the most, {used:.2} of the budget used");
            if worst > 0.0 {
                broken.push((traffic, units, worst));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
