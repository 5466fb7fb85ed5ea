//! Shared test support: settings, and a gateway that tests drive step by step.
#![allow(dead_code)]
use scheduler::interface::*;
use scheduler::Scheduler;
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
pub const MS: i64 = 1000;
/// Microseconds in a second.
pub const SECOND: i64 = 1_000_000;

/// Creates an idempotent class.
pub fn class() -> Class {
    Class {
        latency_objective: Micros(200 * MS),
        deadline: Micros(2 * SECOND),
        priority_weight: 2.0,
        idempotency: Idempotency::Idempotent,
        deduplication_window: Micros(SECOND),
        in_order: false,
    }
}

/// Creates a plan without reservation or limit.
pub fn plan() -> Plan {
    Plan { reservation: 0.0, weight: 1.0, limit_rate: 0.0, limit_burst: 0.0 }
}

/// Creates settings for two gateways, with one class and three plans.
pub fn default_settings() -> Settings {
    Settings {
        gateways: 2,
        classes: vec![class()],
        plans: vec![plan(), Plan { weight: 3.0, ..plan() }, Plan { reservation: 4.0, ..plan() }],
        max_request_units: 4.0,
        mean_request_units: 2.0,
        reports_remote_units: true,
        max_attempts: 3,
        max_retry_after: Micros(SECOND),
        connect_timeout: Micros(200 * MS),
        tick: Micros(MS),
        discovery_mode: DiscoveryMode::Push,
        max_poll_interval: Micros(0),
        slow_start: SlowStart {
            safe_units: 8.0,
            window: Micros(SECOND),
            initial_capacity: 0.25,
            duration: Micros(10 * SECOND),
            overload_factor: 2.0,
        },
        ordering_pause: Micros(0),
        retry_budget: None,
    }
}

/// Creates settings whose first class has a latency objective just below the client timeout.
pub fn settings_with_long_objective() -> Settings {
    let mut settings = default_settings();
    settings.classes[0].latency_objective = Micros(1900 * MS);
    settings
}

/// Creates the entry of a ready backend that started long ago.
pub fn entry(name: &str, shard: u32) -> BackendEntry {
    BackendEntry {
        backend: BackendId(name.into()),
        state: BackendState::Ready,
        started_at: None,
        shard: ShardId(shard),
        zone: 0,
    }
}

/// Creates the entry of a removed backend.
pub fn gone_entry(name: &str, shard: u32) -> BackendEntry {
    BackendEntry { state: BackendState::Gone, ..entry(name, shard) }
}

/// Creates a request for shard 0, of an idempotent class.
pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        volume: VolumeId("v".into()),
        key: None,
        shard: Some(ShardId(0)),
        units: 2.0,
        volume_gateways: 1,
        timeout: Micros(2 * SECOND),
    }
}

/// A gateway's scheduler with a simulated clock and timers, and a record of the attempts sent.
pub struct Gateway {
    pub scheduler: Scheduler,
    pub now: i64,
    /// Expiry time and token of each timer.
    timers: Vec<(i64, u64)>,
    /// Number of attempts by request.
    pub attempts: BTreeMap<u64, u32>,
    /// Backend of the last attempt by request.
    pub backends: BTreeMap<u64, BackendId>,
}

impl Gateway {
    /// Creates a gateway that has long known backend `a` with shard 0 and backend `b` with shard 1.
    pub fn new(settings: Settings) -> Gateway {
        Gateway::seeded(settings, 7)
    }

    /// Creates the same gateway with another seed.
    pub fn seeded(settings: Settings, seed: u64) -> Gateway {
        let scheduler = Scheduler::new(settings, seed).expect("settings");
        let mut gateway = Gateway {
            scheduler,
            now: 100 * SECOND,
            timers: vec![],
            attempts: Default::default(),
            backends: Default::default(),
        };
        gateway.notify(Event::Endpoints(EndpointUpdate::Cached(vec![entry("a", 0), entry("b", 1)])));
        gateway
    }

    /// Passes an event to the scheduler and returns its actions, except timers.
    pub fn notify(&mut self, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.scheduler.handle(Micros(self.now), event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { after, token } => self.timers.push((self.now + after.0, *token)),
                Action::Send { id, backend, .. } => {
                    *self.attempts.entry(id.0).or_default() += 1;
                    self.backends.insert(id.0, backend.clone());
                }
                _ => {}
            }
        }
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    /// Handles the arrival of a request.
    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        self.notify(Event::RequestArrived(request))
    }

    /// Ends the last attempt of a request after `elapsed` microseconds; a served attempt is final.
    pub fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome, elapsed: i64) -> Vec<Action> {
        self.end_attempt_reporting(id, outcome, elapsed, 0.0)
    }

    /// Ends the last attempt and reports the units that were served through other gateways.
    pub fn end_attempt_reporting(
        &mut self,
        id: u64,
        outcome: AttemptOutcome,
        elapsed: i64,
        remote_units: f64,
    ) -> Vec<Action> {
        let report = AttemptReport {
            id: RequestId(id),
            attempt: self.attempts[&id] - 1,
            backend: self.backends[&id].clone(),
            outcome,
            elapsed: Micros(elapsed),
            request_finished: outcome == AttemptOutcome::Ok,
            remote_units,
        };
        self.notify(Event::AttemptEnded(report))
    }

    /// Advances the clock and fires the timers that expire meanwhile.
    pub fn advance(&mut self, micros: i64) -> Vec<Action> {
        let until = self.now + micros;
        let mut actions = vec![];
        while let Some(next) = self.timers.iter().copied().filter(|(at, _)| *at <= until).min() {
            self.timers.retain(|t| *t != next);
            self.now = self.now.max(next.0);
            actions.extend(self.notify(Event::TimerFired(next.1)));
        }
        self.now = until;
        actions
    }
}

/// Sends a gateway changed entries of the backend list.
pub fn update_list(gateway: &mut Gateway, entries: Vec<BackendEntry>) -> Vec<Action> {
    gateway.notify(Event::Endpoints(EndpointUpdate::Delta(entries)))
}

/// Returns the ids of the requests of which an attempt was sent.
pub fn sent(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Send { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}

/// Returns the ids of the rejected requests.
pub fn rejected(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Reject { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}

/// Returns the ids of the failed requests.
pub fn failed(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Fail { id } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}
