//! The scheduler of one gateway. Its types, events and actions are in `interface.rs`.
//!
//! It follows the DAOS QoS design: each volume is a session that holds credits, requests wait in one queue
//! per volume and shard, and a request is sent only while its session has enough credits. Beyond that design,
//! a window per backend limits the requests in flight there, and a weighted round robin that serves
//! reservations first selects the next request. `docs/design.md` lists what was adopted and what was added.
mod admission;
mod arrival;
mod backend;
mod baseline;
mod completion;
mod constants;
mod endpoints;
mod eviction;
mod outcome;
mod round_robin;
mod send;
mod session;
mod slow_start;
mod state;

use crate::interface::{
    Action, Class, DiscoveryMode, Event, KeyId, Micros, RequestId, Settings, SettingsError, ShardId,
};
use crate::rng::SeededRng;
use crate::validation::validate;
use constants::{BACKGROUND_OBJECTIVE_RATIO, MAX_WINDOW};
use state::{Alarm, Backends, KeyQueue, LatencySum, OpenRequest, Sessions, Shard, UnservedRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The scheduler of one gateway.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    rng: SeededRng,
    now: Micros,
    /// When the first event was handled.
    started_at: Option<Micros>,
    /// The time from which the rate limit of an unknown volume counts as refilling: the start, or the last
    /// change of the limits.
    rate_limits_refill_from: Option<Micros>,
    /// Whether each class is background work, by class index.
    is_background: Vec<bool>,
    /// The shortest latency objective of any class.
    shortest_objective_us: f64,
    /// Number of gateways per slot of a backend's full window: the higher it is, the less of a backend's
    /// traffic each gateway observes.
    gateways_per_slot: f64,
    /// Requests that were not served, kept until their clients time out.
    unserved: BTreeSet<UnservedRequest>,
    sessions: Sessions,
    backends: Backends,
    shards: BTreeMap<ShardId, Shard>,
    requests: BTreeMap<RequestId, OpenRequest>,
    keys: BTreeMap<KeyId, KeyQueue>,
    alarms: BTreeSet<(Micros, Alarm)>,
    /// When the last timer that was set expires.
    timer_at: Option<Micros>,
    timer_token: u64,
    /// Whether a backend list has arrived.
    has_backend_list: bool,
    /// Latencies of the ready backends with at least one response.
    latencies: LatencySum,
    /// Consecutive failed discovery calls.
    discovery_failures: i32,
    /// Arrival times of requests, and send times of retries, within the window of the retry budget.
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// Number of objects known to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCounts {
    /// Backends.
    pub backends: usize,
    /// Volumes.
    pub volumes: usize,
}

impl Scheduler {
    /// Creates a scheduler without backends. The same seed and events lead to the same actions.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let mut scheduler = Scheduler { rng: SeededRng::new(seed), ..Scheduler::default() };
        scheduler.apply_settings(settings);
        Ok(scheduler)
    }

    /// Replaces the settings. The indexes of classes and plans must keep their meaning.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting, and leaves the settings unchanged.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        validate(&settings)?;
        // Refill the token buckets at the old rates for the time up to now.
        self.now = self.now.max(now);
        for session in &mut self.sessions.all {
            session.refill(&self.settings, self.now);
        }
        if rate_limits(&settings) != rate_limits(&self.settings) {
            self.rate_limits_refill_from = Some(self.now);
        }
        self.apply_settings(settings);
        Ok(())
    }

    fn apply_settings(&mut self, settings: Settings) {
        let objective_us = |class: &Class| class.latency_objective.0 as f64;
        self.shortest_objective_us = settings.classes.iter().map(objective_us).fold(f64::INFINITY, f64::min);
        let highest_weight = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        let least_objective_us = BACKGROUND_OBJECTIVE_RATIO * self.shortest_objective_us;
        let is_background = |class: &Class| {
            objective_us(class) > least_objective_us && class.priority_weight < highest_weight
        };
        self.is_background = settings.classes.iter().map(is_background).collect();
        self.gateways_per_slot = f64::from(settings.gateways) / MAX_WINDOW;
        self.settings = settings;
    }

    /// Handles an event and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // All gateways may start at once, and discovery has little capacity: spread out their first calls.
        if self.started_at.is_none() && self.settings.discovery_mode == DiscoveryMode::Subscribe {
            self.schedule_watch();
        }
        self.started_at.get_or_insert(self.now);
        match event {
            Event::Endpoints(update) => self.update_endpoints(update, actions),
            Event::RequestArrived(request) => self.request_arrived(request, actions),
            Event::AttemptEnded(report) => self.attempt_ended(&report, actions),
            Event::ClientLeft(id) => self.client_left(id, actions),
            Event::TimerFired(_) => self.timer_at = None,
        }
        while self.alarms.first().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, alarm)) = self.alarms.pop_first() else { break };
            self.handle_alarm(alarm, actions);
        }
        self.set_timer(actions);
    }

    fn handle_alarm(&mut self, alarm: Alarm, actions: &mut Vec<Action>) {
        match alarm {
            Alarm::Expire(id) if !self.keep_waiting(id) => self.finish(id, actions),
            Alarm::Expire(_) => {}
            Alarm::Dispatch(shard) => self.dispatch(shard, actions),
            Alarm::Unblock(key) => self.advance_key(&key, actions),
            Alarm::Watch => {
                // A call without any response counts as a failure, so the next call waits longer.
                actions.push(Action::Watch);
                self.discovery_failures += 1;
                self.schedule_watch();
            }
        }
    }

    /// Sets a timer, unless one is already set that expires before the next alarm.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let Some((at, _)) = self.alarms.first() else { return };
        if self.timer_at.is_none_or(|timer_at| *at < timer_at) {
            self.timer_at = Some(*at);
            self.timer_token += 1;
            actions.push(Action::SetTimer { after: Micros(at.0 - self.now.0), token: self.timer_token });
        }
    }

    /// Returns the number of known backends and volumes.
    pub fn known_counts(&self) -> KnownCounts {
        KnownCounts { backends: self.backends.by_id.len(), volumes: self.sessions.by_volume.len() }
    }
}

/// Returns the rate limits of all plans, as rates and bursts.
fn rate_limits(settings: &Settings) -> Vec<(f64, f64)> {
    settings.plans.iter().map(|plan| (plan.limit_rate, plan.limit_burst)).collect()
}
