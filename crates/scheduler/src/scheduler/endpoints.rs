//! The backend list: subscribing to it, and applying its updates.
use super::backend::Backend;
use super::state::Alarm;
use super::Scheduler;
use crate::interface::{Action, BackendEntry, BackendId, BackendState, EndpointUpdate, Micros, ShardId};
use crate::time::{add_us, span_us};
use rand::Rng;
use std::collections::{BTreeSet, VecDeque};

/// Range of the first delay before a discovery call, as a fraction of the maximum poll interval; the delay
/// doubles with each failure, three times at most.
const WATCH_BACKOFF: std::ops::Range<f64> = 1.0 / 32.0..1.0 / 16.0;
/// Number of failures after which the delay no longer doubles.
const MAX_BACKOFF_DOUBLINGS: i32 = 3;
/// Lower bound of the poll interval from which delays are computed, in microseconds.
const MIN_POLL_INTERVAL_US: i64 = 4_000_000;

impl Scheduler {
    /// Returns the backends that are listed as ready but currently aren't sent to, because they failed.
    pub fn ejected_backends(&self, now: Micros) -> Vec<BackendId> {
        let is_ejected = |backend: &&Backend| backend.is_ready() && backend.ejected_until > now;
        let ejected = self.backends.all.iter().filter(is_ejected);
        ejected.map(|backend| backend.entry.backend.clone()).collect()
    }

    /// Schedules a request for the watch, after a jittered delay that doubles with each failure.
    pub(super) fn schedule_watch(&mut self) {
        self.alarms.retain(|(_, alarm)| *alarm != Alarm::Watch);
        let doublings = self.discovery_failures.min(MAX_BACKOFF_DOUBLINGS);
        let share = 2f64.powi(doublings) * self.rng.0.random_range(WATCH_BACKOFF);
        let interval_us = self.settings.max_poll_interval.0.max(MIN_POLL_INTERVAL_US) as f64;
        self.alarms.insert((add_us(self.now, share * interval_us), Alarm::Watch));
    }

    /// Applies an update of the list. Only the affected shards are visited, so the cost depends on the size
    /// of the change.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        let (is_complete, is_cached) = match &update {
            EndpointUpdate::Cached(_) => (true, true),
            EndpointUpdate::Full(_) => (true, false),
            EndpointUpdate::Delta(_) | EndpointUpdate::Failed => (false, false),
        };
        let (EndpointUpdate::Cached(entries)
        | EndpointUpdate::Full(entries)
        | EndpointUpdate::Delta(entries)) = update
        else {
            return self.schedule_watch();
        };
        if !is_cached {
            self.discovery_responded();
        }
        let mut touched = BTreeSet::new();
        if is_complete {
            touched.extend(self.shards.keys());
            self.remove_unlisted(&entries, &mut touched);
        }
        for entry in entries {
            self.update_backend(entry, &mut touched);
        }
        self.has_backend_list = true;
        self.evict_departed_backends();
        self.select_backends(&touched);
        for shard in touched {
            self.dispatch(shard, actions);
        }
    }

    /// Resets the discovery failures. If there were any, ejected backends are tried again at once.
    fn discovery_responded(&mut self) {
        self.alarms.retain(|(_, alarm)| *alarm != Alarm::Watch);
        if std::mem::take(&mut self.discovery_failures) > 0 {
            for backend in &mut self.backends.all {
                backend.ejected_until = backend.ejected_until.min(self.now);
            }
        }
    }

    /// Marks the backends that a complete list doesn't contain as gone.
    fn remove_unlisted(&mut self, entries: &[BackendEntry], touched: &mut BTreeSet<ShardId>) {
        let listed: BTreeSet<&BackendId> = entries.iter().map(|entry| &entry.backend).collect();
        let unlisted = self.backends.by_id.iter().filter(|(id, _)| !listed.contains(id));
        let unlisted: Vec<usize> = unlisted.map(|(_, index)| *index).collect();
        for index in unlisted {
            let entry = self.backends.all[index].entry.clone();
            self.replace_entry(index, BackendEntry { state: BackendState::Gone, ..entry }, touched);
        }
    }

    /// Applies an entry: a new backend, a restarted one, or a change of state.
    fn update_backend(&mut self, entry: BackendEntry, touched: &mut BTreeSet<ShardId>) {
        // A backend that is new to this gateway may have just started, even if the list has no start time.
        let is_unknown_start = self.has_backend_list && entry.state == BackendState::Ready;
        let started_at = entry.started_at.or(is_unknown_start.then_some(self.now));
        let baseline_rate = self.measured_baseline_rate(entry.shard, started_at.unwrap_or(self.now));
        let (index, is_new) = self.find_or_create_backend(&entry.backend);
        let backend = &mut self.backends.all[index];
        let slow_start = &mut backend.slow_start;
        let is_restarted = entry.started_at > slow_start.started_at;
        if is_new || backend.entry.state != BackendState::Ready || is_restarted {
            // A backend that drains and becomes ready again during slow start must not get its allowance
            // twice.
            if is_new || started_at.is_some_and(|at| Some(at) != slow_start.started_at) {
                slow_start.sends = VecDeque::new();
                (slow_start.accrued_units, slow_start.accrued_at) = (0.0, self.now);
                slow_start.phase = self.rng.0.random();
            }
            slow_start.started_at = started_at.or(slow_start.started_at);
            slow_start.baseline_rate = baseline_rate;
            slow_start.is_baseline_measured = baseline_rate > 0.0;
            (backend.failures, backend.ejected_until) = (0, self.now);
        }
        self.replace_entry(index, entry, touched);
    }

    /// Returns the index of a backend, and whether it is new.
    fn find_or_create_backend(&mut self, id: &BackendId) -> (usize, bool) {
        let backends = &mut self.backends;
        if let Some(index) = backends.by_id.get(id) {
            return (*index, false);
        }
        let index = backends.free.pop().unwrap_or(backends.all.len());
        backends.all.resize_with(backends.all.len().max(index + 1), Backend::default);
        backends.all[index] = Backend::new(self.now, self.gateways_per_slot);
        backends.by_id.insert(id.clone(), index);
        (index, true)
    }

    /// Replaces a backend's entry, and updates the shards and the sum of latencies accordingly.
    fn replace_entry(&mut self, index: usize, entry: BackendEntry, touched: &mut BTreeSet<ShardId>) {
        let backend = &mut self.backends.all[index];
        touched.extend([backend.entry.shard, entry.shard]);
        self.shards.entry(entry.shard).or_default().backends.insert(index);
        self.backends.departed.extend((entry.state == BackendState::Gone).then_some(index));
        let is_ready = entry.state == BackendState::Ready;
        let change = f64::from(is_ready) - f64::from(backend.is_ready());
        if let Some(latency_us) = backend.latency_us {
            self.latencies.total_us += change * latency_us;
            self.latencies.count += change;
        }
        backend.entry = entry;
    }

    /// Selects the active backend of each of these shards: the ready one that started last.
    fn select_backends(&mut self, touched: &BTreeSet<ShardId>) {
        let all = &self.backends.all;
        for id in touched {
            let shard = self.shards.entry(*id).or_default();
            shard.backends.retain(|index| {
                all[*index].entry.shard == *id && all[*index].entry.state != BackendState::Gone
            });
            let ready = shard.backends.iter().copied().filter(|index| all[*index].is_ready());
            shard.active_backend = ready.max_by_key(|index| all[*index].slow_start.started_at);
        }
        if touched.iter().any(|id| self.shards[id].active_backend.is_none()) {
            let duration_us = self.settings.slow_start.duration.0 as f64;
            let now = self.now;
            self.shards.retain(|_, shard| {
                let served = &shard.served_units;
                let has_baseline = served.sum > 0.0 && span_us(served.updated_at, now) < duration_us;
                shard.active_backend.is_some() || !shard.queues.is_empty() || has_baseline
            });
        }
    }
}
