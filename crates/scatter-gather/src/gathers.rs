//! All open gathers and their shared state. Their number is limited; at the limit a new one is rejected and counted.
use crate::gather::{Gather, GatherAction, GatherEvent};
use crate::memory::{MemoryBudget, Size};
use crate::policy::Policy;
use crate::shared::{Counters, SharedState};
use crate::zone_tracker::{ZoneReport, ZoneTracker};
use cluster_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long after its deadline an ended gather is kept to record late responses.
const LATE_RESPONSE_RETENTION: Duration = Duration::from_secs(2);

/// The id of a gather.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatherId(pub u64);

/// The error when the limit on open gathers is reached; the client's request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many gathers are open")]
pub struct TooManyGathers;

/// All open gathers.
#[derive(Debug)]
pub struct Gathers<V> {
    capacity: usize,
    next_id: u64,
    open: BTreeMap<GatherId, Gather<V>>,
    /// When to wake or remove each gather.
    wakeups: BTreeSet<(Time, GatherId)>,
    wakeup_of: BTreeMap<GatherId, Time>,
    /// The zone health version that all open gathers have been notified of.
    health_version: u64,
    /// The state that the gathers share.
    pub shared: SharedState,
}

impl<V: Size> Gathers<V> {
    /// An empty set for at most `capacity` gathers, including those kept only for late responses.
    pub fn new(capacity: usize, zones: ZoneTracker, budget: MemoryBudget) -> Gathers<V> {
        Gathers {
            capacity,
            next_id: 0,
            open: BTreeMap::new(),
            wakeups: BTreeSet::new(),
            wakeup_of: BTreeMap::new(),
            health_version: 0,
            shared: SharedState { zones, budget, counters: Counters::default() },
        }
    }

    /// Starts a gather for a client that waits until `client_deadline`.
    ///
    /// # Errors
    /// The limit is reached, and no gather is kept only for late responses.
    pub fn start(
        &mut self,
        now: Time,
        policy: Arc<Policy>,
        client_deadline: Time,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) -> Result<GatherId, TooManyGathers> {
        self.make_room()?;
        let id = GatherId(self.next_id);
        self.next_id += 1;
        let mut actions = Vec::new();
        let gather = Gather::new(policy, now, client_deadline, &mut self.shared, &mut actions);
        self.open.insert(id, gather);
        out.extend(actions.into_iter().map(|action| (id, action)));
        self.reschedule(id);
        self.notify_health_changes(now, out);
        Ok(id)
    }

    /// At the limit, removes the oldest gather that is kept only for late responses.
    fn make_room(&mut self) -> Result<(), TooManyGathers> {
        if self.open.len() < self.capacity {
            return Ok(());
        }
        let over = self.open.iter().find(|(_, gather)| gather.is_over()).map(|(id, _)| *id);
        let Some(over) = over else {
            self.shared.counters.rejected += 1;
            return Err(TooManyGathers);
        };
        self.remove_gather(over);
        Ok(())
    }

    /// Handles an event for one gather. A response for an unknown gather is counted.
    pub fn handle(
        &mut self,
        now: Time,
        id: GatherId,
        event: GatherEvent<V>,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) {
        self.handle_event(now, id, event, out);
        self.notify_health_changes(now, out);
    }

    /// Wakes or removes all gathers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(GatherId, GatherAction<V>)>) {
        while let Some((at, id)) = self.wakeups.first().copied().filter(|(at, _)| *at <= now) {
            if self.open.get(&id).is_none_or(Gather::is_over) {
                self.remove_gather(id);
            } else {
                self.handle_event(now, id, GatherEvent::Tick, out);
            }
            // Prevents an endless loop if the gather is rescheduled for the same time.
            if self.wakeup_of.get(&id) == Some(&at) {
                break;
            }
        }
        self.notify_health_changes(now, out);
    }

    /// Applies the other members' report on a zone.
    pub fn receive_report(
        &mut self,
        now: Time,
        report: &ZoneReport,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) {
        self.shared.zones.receive_report(now, report);
        self.notify_health_changes(now, out);
    }

    /// When [`Gathers::tick`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeups.first().map(|(at, _)| *at)
    }

    /// The number of gathers, including those kept only for late responses.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no gathers.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn handle_event(
        &mut self,
        now: Time,
        id: GatherId,
        event: GatherEvent<V>,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) {
        let Some(gather) = self.open.get_mut(&id) else {
            let is_response = matches!(event, GatherEvent::Response { .. });
            self.shared.counters.unexpected_responses += u64::from(is_response);
            return;
        };
        let mut actions = Vec::new();
        gather.handle(now, event, &mut self.shared, &mut actions);
        out.extend(actions.into_iter().map(|action| (id, action)));
        self.reschedule(id);
    }

    /// Notifies all open gathers if the health of a zone has changed. Only gathers that end in a round can change the
    /// health again, so the loop terminates.
    fn notify_health_changes(&mut self, now: Time, out: &mut Vec<(GatherId, GatherAction<V>)>) {
        while self.health_version != self.shared.zones.version() {
            self.health_version = self.shared.zones.version();
            let is_open = |(_, gather): &(&GatherId, &Gather<V>)| !gather.is_over();
            let open: Vec<GatherId> = self.open.iter().filter(is_open).map(|(id, _)| *id).collect();
            for id in open {
                self.handle_event(now, id, GatherEvent::ZoneHealthChanged, out);
            }
        }
    }

    /// Updates the wakeup of a gather, or removes it if it is finished.
    fn reschedule(&mut self, id: GatherId) {
        let wakeup = match self.open.get(&id) {
            Some(gather) if !gather.is_finished() => {
                gather.next_wakeup().unwrap_or(gather.deadline() + LATE_RESPONSE_RETENTION)
            }
            _ => return self.remove_gather(id),
        };
        if let Some(before) = self.wakeup_of.insert(id, wakeup) {
            self.wakeups.remove(&(before, id));
        }
        self.wakeups.insert((wakeup, id));
    }

    fn remove_gather(&mut self, id: GatherId) {
        self.open.remove(&id);
        if let Some(before) = self.wakeup_of.remove(&id) {
            self.wakeups.remove(&(before, id));
        }
    }
}
