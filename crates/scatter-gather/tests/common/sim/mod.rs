//! A seeded simulation, in virtual time, of gateways that gather from four zones, one of which fails for a while.
#![allow(dead_code, clippy::unwrap_used)]
pub mod measurements;
mod reports;

use cluster_types::{Time, Zone};
pub use measurements::Measurements;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use reports::combined_report;
use scatter_gather::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How the last zone fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Unreachable,
    Slow,
    Flapping,
    /// The zone is healthy, but other members report that it is not.
    FalseReports,
}

/// What the gateways know about zone health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Knowledge {
    Nothing,
    OwnMeasurements,
    Shared,
}

/// When the zone fails and recovers, and the end of a run, in microseconds.
const FAILED_AT: u64 = 5_000_000;
const RECOVERED_AT: u64 = 15_000_000;
const END: u64 = 36_000_000;
const GATEWAYS: usize = 8;
/// An answer within this time is in time.
const LATENCY_OBJECTIVE_US: u64 = 250_000;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1200);
/// The index of the request to the failing zone.
const FAILING_REQUEST: usize = 3;
/// How often gateways exchange reports.
const REPORT_INTERVAL_US: u64 = 200_000;

enum SimEvent {
    Start { gateway: usize },
    Respond { gateway: usize, id: GatherId, request: usize },
    Wakeup { gateway: usize },
    ExchangeReports,
}

fn policy(quorum: &str) -> Arc<Policy> {
    let mut text = format!(
        "name = \"stock\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n\
         suffices = {quorum}\n"
    );
    for zone in ["a", "b", "c", "d"] {
        text += &format!(
            "[[part]]\nname = \"{zone}\"\nhall = \"{zone}\"\npiece = \"00000000000000cc\"\nshard = 1\n"
        );
    }
    Arc::new(toml::from_str(&text).unwrap())
}

fn is_failing(now: u64) -> bool {
    (FAILED_AT..RECOVERED_AT).contains(&now)
}

/// The latency of the last zone for a request sent at `now`; `None` if it does not respond.
fn failing_latency(fault: Fault, now: u64, normal_us: u64) -> Option<u64> {
    if !is_failing(now) {
        return Some(normal_us);
    }
    match fault {
        Fault::Unreachable => None,
        Fault::Slow => Some(normal_us * 30),
        Fault::Flapping => (now / 700_000).is_multiple_of(2).then_some(normal_us),
        Fault::FalseReports => Some(normal_us),
    }
}

struct Sim {
    random: SmallRng,
    policy: Arc<Policy>,
    fault: Fault,
    knowledge: Knowledge,
    failing_zone: Zone,
    gateways: Vec<Gathers<Vec<u8>>>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    scheduled_count: u64,
    started_at: BTreeMap<(usize, GatherId), u64>,
    measured: Measurements,
}

pub fn run(seed: u64, fault: Fault, knowledge: Knowledge, quorum: &str) -> Measurements {
    let mut rules = HealthRules::default();
    if knowledge == Knowledge::Nothing {
        (rules.suspect_misses, rules.eject_misses) = (u32::MAX, u32::MAX);
    }
    let zones = || ZoneTracker::new(None, rules.clone());
    let mut sim = Sim {
        random: SmallRng::seed_from_u64(seed),
        policy: policy(quorum),
        fault,
        knowledge,
        failing_zone: "d".into(),
        gateways: (0..GATEWAYS).map(|_| Gathers::new(256, zones(), MemoryBudget::new(64 << 20))).collect(),
        queue: BTreeMap::new(),
        scheduled_count: 0,
        started_at: BTreeMap::new(),
        measured: Measurements::default(),
    };
    sim.run();
    sim.measured
}

impl Sim {
    fn run(&mut self) {
        for gateway in 0..GATEWAYS {
            let at = self.random.random_range(0..400_000);
            self.schedule(at, SimEvent::Start { gateway });
        }
        self.schedule(100_000, SimEvent::ExchangeReports);
        let mut last_unhealthy = RECOVERED_AT;
        while let Some(((now, _), event)) = self.queue.pop_first() {
            if now > END {
                break;
            }
            let is_gateway_event = self.step(now, event);
            if is_gateway_event && now > RECOVERED_AT && self.is_found_unhealthy(Time(now)) {
                last_unhealthy = now;
            }
        }
        self.measured.found_healthy_after = Duration::from_micros(last_unhealthy - RECOVERED_AT);
        let late = self.gateways.iter().map(|gathers| gathers.shared.counters.late_responses);
        self.measured.late_responses = late.sum();
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.scheduled_count += 1;
        self.queue.insert((at, self.scheduled_count), event);
    }

    fn is_found_unhealthy(&self, now: Time) -> bool {
        let health = |gathers: &Gathers<Vec<u8>>| gathers.shared.zones.health(now, &self.failing_zone);
        self.gateways.iter().any(|gathers| health(gathers) != ZoneHealth::Healthy)
    }

    /// Handles an event; returns whether it belonged to a gateway.
    fn step(&mut self, now: u64, event: SimEvent) -> bool {
        let time = Time(now);
        let mut actions = Vec::new();
        let gateway = match event {
            SimEvent::Start { gateway } => {
                let next = now + self.random.random_range(200_000..600_000);
                self.schedule(next, SimEvent::Start { gateway });
                let (policy, deadline) = (self.policy.clone(), time + CLIENT_TIMEOUT);
                let id = self.gateways[gateway].start(time, policy, deadline, &mut actions).unwrap();
                self.started_at.insert((gateway, id), now);
                gateway
            }
            SimEvent::Respond { gateway, id, request } => {
                let response = ShardResponse::Value(vec![0; 100]);
                let event = GatherEvent::Response { request, response };
                self.gateways[gateway].handle(time, id, event, &mut actions);
                gateway
            }
            SimEvent::Wakeup { gateway } => {
                self.gateways[gateway].tick(time, &mut actions);
                gateway
            }
            SimEvent::ExchangeReports => {
                self.schedule(now + REPORT_INTERVAL_US, SimEvent::ExchangeReports);
                if self.knowledge == Knowledge::Shared {
                    self.exchange_reports(time);
                }
                return false;
            }
        };
        for (id, action) in actions {
            self.execute(now, gateway, id, action);
        }
        if let Some(wakeup) = self.gateways[gateway].next_wakeup() {
            self.schedule(wakeup.0.max(now + 1), SimEvent::Wakeup { gateway });
        }
        true
    }

    fn execute(&mut self, now: u64, gateway: usize, id: GatherId, action: GatherAction<Vec<u8>>) {
        match action {
            GatherAction::Send { request, .. } => {
                let normal_us = self.random.random_range(20_000..60_000);
                let latency = if request == FAILING_REQUEST {
                    failing_latency(self.fault, now, normal_us)
                } else {
                    Some(normal_us)
                };
                if let Some(latency) = latency {
                    self.schedule(now + latency, SimEvent::Respond { gateway, id, request });
                }
            }
            GatherAction::Abandon { .. } => {}
            GatherAction::Answer(answer) => {
                let started_at = self.started_at.remove(&(gateway, id)).unwrap_or(now);
                if is_failing(started_at) {
                    self.measure(now - started_at, &answer);
                }
            }
        }
    }

    fn measure(&mut self, wait: u64, answer: &Answer<Vec<u8>>) {
        let is_gathered = matches!(answer, Answer::Gathered(_));
        self.measured.waits_us.push(wait);
        self.measured.in_time += usize::from(is_gathered && wait <= LATENCY_OBJECTIVE_US);
        self.measured.failed += usize::from(!is_gathered);
        self.measured.complete += usize::from(answer.status() == AnswerStatus::Complete);
    }

    /// Delivers to each gateway the combined report of the others.
    fn exchange_reports(&mut self, now: Time) {
        let zone = self.failing_zone.clone();
        let observe = |gathers: &Gathers<Vec<u8>>| {
            gathers.shared.zones.observations(now).into_iter().find(|observed| observed.zone == zone)
        };
        let observed: Vec<Option<ZoneObservation>> = self.gateways.iter().map(observe).collect();
        for (gateway, gathers) in self.gateways.iter_mut().enumerate() {
            let others = observed.iter().enumerate().filter(|(other, _)| *other != gateway);
            let others: Vec<&ZoneObservation> =
                others.filter_map(|(_, observed)| observed.as_ref()).collect();
            let Some(mut report) = combined_report(&zone, &others) else { continue };
            if self.fault == Fault::FalseReports && is_failing(now.0) {
                (report.suspicion, report.sources, report.age) = (1.0, 7, Duration::ZERO);
            }
            let mut actions = Vec::new();
            gathers.receive_report(now, &report, &mut actions);
            let is_send = |action: &GatherAction<Vec<u8>>| matches!(action, GatherAction::Send { .. });
            assert!(!actions.iter().any(|(_, action)| is_send(action)), "a report must not send a request");
        }
    }
}
