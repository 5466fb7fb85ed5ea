//! The dispatcher, with its table of open requests.
mod admission;
mod entry;
mod logging;
mod recent_writes;
mod responses;
mod scheduling;

use crate::{AttemptEnd, Bytes, Counters, Effect, RequestEvent, RequestLog, Response};
pub use admission::EARLIER_ID;
use entry::Entry;
use recent_writes::RecentWrites;
use scheduler::interface::{
    Action, AttemptOutcome, AttemptReport, BackendId, EndpointUpdate, Event, Micros, RequestId, Settings,
    SettingsError,
};
use scheduler::{KnownCounts, Scheduler};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How long after its deadline a request fails that the scheduler has left open; a final response is overdue
/// after 58 ms.
const OVERDUE_AFTER_US: i64 = 4_000;
/// Retry-After of requests that are rejected without asking the scheduler.
const DEFAULT_RETRY_AFTER: Micros = Micros(100_000);
/// Maximum number of volumes with pending reports of remote units.
const MAX_LATE_REPORT_VOLUMES: usize = 1024;

/// Runs the scheduler and keeps the table of open requests.
pub struct Dispatcher<T, V = Bytes> {
    scheduler: Scheduler,
    table: BTreeMap<RequestId, Entry<T>>,
    /// Names, as given by the clients, of the requests without a final response.
    names: BTreeSet<Rc<str>>,
    recent_writes: RecentWrites,
    /// The scheduler's timers: expiry time and token.
    timers: BTreeSet<(Micros, u64)>,
    /// The time by which each open request must have its final response.
    overdue: BTreeSet<(Micros, RequestId)>,
    /// Reused for all events, to avoid an allocation for each.
    actions: Vec<Action>,
    /// Units served through other gateways, by volume, that were reported after the attempt had ended.
    late_remote_units: BTreeMap<Rc<str>, f64>,
    /// Memory used by the open requests, in bytes.
    memory_bytes: usize,
    capacity: Capacity,
    /// Effects for the caller to carry out, in order.
    pub effects: VecDeque<Effect<T, V>>,
    /// Counts since the start.
    pub counters: Counters,
    /// Requests that were retried, rejected, failed or left by their clients.
    pub request_log: RequestLog,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum memory of the requests, in bytes.
    pub bytes: usize,
}

impl<T, V: Default> Dispatcher<T, V> {
    /// Creates a dispatcher without backends.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: Settings, seed: u64, capacity: Capacity) -> Result<Self, SettingsError> {
        Ok(Dispatcher {
            recent_writes: RecentWrites::new(&settings),
            scheduler: Scheduler::new(settings, seed)?,
            table: BTreeMap::new(),
            names: BTreeSet::new(),
            timers: BTreeSet::new(),
            overdue: BTreeSet::new(),
            actions: Vec::new(),
            late_remote_units: BTreeMap::new(),
            memory_bytes: 0,
            capacity,
            effects: VecDeque::new(),
            counters: Counters::default(),
            request_log: RequestLog::default(),
        })
    }

    /// Replaces the settings and the capacity; open requests are kept. The indexes of classes and plans must
    /// keep their meaning.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting, and changes nothing.
    pub fn reload(
        &mut self,
        now: Micros,
        settings: Settings,
        capacity: Capacity,
    ) -> Result<(), SettingsError> {
        let classes = settings.clone();
        self.scheduler.reload(now, settings)?;
        self.recent_writes.set_classes(&classes);
        self.capacity = capacity;
        Ok(())
    }

    /// Handles a client that has disconnected and needs no response.
    pub fn client_left(&mut self, now: Micros, id: RequestId) {
        if !self.table.contains_key(&id) {
            return;
        }
        self.log_event(now, id, RequestEvent::ClientLeft);
        if self.take_ticket(now, id).is_some() {
            self.counters.client_left += 1;
        }
        self.remove_if_done(id);
        self.notify(now, Event::ClientLeft(id));
    }

    /// Handles an update of the backend list.
    pub fn update_endpoints(&mut self, now: Micros, update: EndpointUpdate) {
        self.counters.endpoint_updates += 1;
        self.notify(now, Event::Endpoints(update));
    }

    /// Handles the end of an attempt. The first attempt that is served gives the final response.
    pub fn attempt_ended(&mut self, now: Micros, end: AttemptEnd<V>) {
        let Some(entry) = self.table.get_mut(&end.id) else { return };
        // A result may be reported twice: closing a connection may race with a response on it.
        if !entry.is_in_flight || end.number + 1 != entry.attempts {
            return;
        }
        entry.record_end(end.outcome);
        self.counters.attempts.record(end.outcome);
        let is_served = end.outcome == AttemptOutcome::Ok;
        let late_units = if is_served { self.late_remote_units.remove(&entry.request.volume) } else { None };
        if is_served {
            if let Some(ticket) = self.take_ticket(now, end.id) {
                self.counters.served += 1;
                let response = Response::Served(end.value.unwrap_or_default());
                self.effects.push_back(Effect::Respond(ticket, response));
            }
        }
        if self.table.get(&end.id).is_some_and(|entry| entry.is_abandoned) {
            self.respond_to_abandoned(now, end.id);
        }
        let request_finished = self.table.get(&end.id).is_none_or(|entry| entry.ticket.is_none());
        self.remove_if_done(end.id);
        let report = AttemptReport {
            id: end.id,
            attempt: end.number,
            backend: end.backend,
            outcome: end.outcome,
            elapsed: Micros(now.0 - end.started_at.0),
            request_finished,
            remote_units: end.remote_units + late_units.unwrap_or(0.0),
        };
        self.notify(now, Event::AttemptEnded(report));
    }

    /// Adds units that other gateways served for a volume and that were reported after their attempt had
    /// ended. They count with the volume's next served attempt.
    pub fn add_remote_units(&mut self, volume: Rc<str>, units: f64) {
        // Clients choose the names of volumes: bound the memory.
        let has_room = self.late_remote_units.len() < MAX_LATE_REPORT_VOLUMES
            || self.late_remote_units.contains_key(&volume);
        if units > 0.0 && has_room {
            *self.late_remote_units.entry(volume).or_default() += units;
        }
    }

    /// Returns when [`fire_timers`](Self::fire_timers) must be called next.
    pub fn next_timer(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let overdue = self.overdue.first().map(|(at, _)| *at);
        timer.into_iter().chain(overdue).min()
    }

    /// Returns the number of requests without a final response.
    pub fn unanswered(&self) -> usize {
        self.names.len()
    }

    /// Returns the number of requests without a final response or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.table.len()
    }

    /// Returns the backends that are listed as ready but currently aren't sent to, because they failed.
    pub fn ejected_backends(&self, now: Micros) -> Vec<BackendId> {
        self.scheduler.ejected_backends(now)
    }

    /// Returns the number of backends and volumes known to the scheduler.
    pub fn known_counts(&self) -> KnownCounts {
        self.scheduler.known_counts()
    }
}
