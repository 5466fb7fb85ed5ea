//! Accepts requests into the table, or responds to them at once.
use super::entry::Entry;
use super::{Dispatcher, DEFAULT_RETRY_AFTER, OVERDUE_AFTER_US};
use crate::{Effect, Request, RequestEvent, Response};
use scheduler::interface::{Event, KeyId, Micros, RequestId, ShardId, VolumeId};
use std::rc::Rc;

/// Why a request is rejected that does not fit into the table.
const AT_CAPACITY: &str = "the table of requests is full";
/// Why a request fails whose id is in use: backends identify requests by it, and would take a second one for a retry of the first.
const DUPLICATE_ID: &str = "the id is that of an open request";
/// Why a request fails whose id is that of a write that may have been executed: a client that disconnected may come again with it.
pub const EARLIER_ID: &str = "the id is that of an earlier request, which may have run";

impl<T, V: Default> Dispatcher<T, V> {
    /// Accepts a request; its response is an effect, which may follow at once.
    pub fn submit(&mut self, now: Micros, id: RequestId, request: Request, ticket: T) {
        self.counters.received += 1;
        let bytes = request.memory_bytes();
        if self.table.len() >= self.capacity.requests || self.memory_bytes + bytes > self.capacity.bytes {
            self.counters.over_capacity += 1;
            self.log_unaccepted(now, &request, RequestEvent::Rejected(AT_CAPACITY));
            let response = Response::Rejected(Some(DEFAULT_RETRY_AFTER));
            self.effects.push_back(Effect::Respond(ticket, response));
            return;
        }
        if let Some(reason) = self.name_conflict(now, &request) {
            self.counters.duplicates += 1;
            self.log_unaccepted(now, &request, RequestEvent::Failed(reason));
            self.effects.push_back(Effect::Respond(ticket, Response::Failed(reason)));
            return;
        }
        self.names.insert(request.name.clone());
        let event = arrival_event(now, id, &request);
        self.memory_bytes += bytes;
        self.overdue.insert((Micros(request.deadline.0 + OVERDUE_AFTER_US), id));
        self.table.insert(id, Entry::new(Rc::new(request), ticket, now));
        self.notify(now, event);
    }

    /// Names of writes that were accepted and must not be executed again: open ones, and those that may have been executed lately.
    pub fn unrepeatable_names(&self) -> Vec<Rc<str>> {
        let is_open = |entry: &&Entry<T>| self.recent_writes.is_at_most_once(entry.request.class);
        let open = self.table.values().filter(is_open).map(|entry| &entry.request.name);
        open.chain(self.recent_writes.names()).cloned().collect()
    }

    /// Why the request can't be accepted under its name, if it can't.
    fn name_conflict(&mut self, now: Micros, request: &Request) -> Option<&'static str> {
        if self.names.contains(&request.name) {
            Some(DUPLICATE_ID)
        } else if self.recent_writes.contains(now, &request.name) {
            Some(EARLIER_ID)
        } else {
            None
        }
    }
}

/// Creates the scheduler's event for the arrival of a request.
fn arrival_event(now: Micros, id: RequestId, request: &Request) -> Event {
    Event::RequestArrived(scheduler::interface::Request {
        id,
        class: request.class,
        plan: request.plan,
        volume: VolumeId(request.volume.as_ref().into()),
        key: (!request.key.is_empty()).then(|| KeyId(request.key.as_ref().into())),
        shard: request.shard.map(ShardId),
        units: f64::from(request.units),
        volume_gateways: request.volume_gateways,
        timeout: Micros(request.deadline.0 - now.0),
    })
}
