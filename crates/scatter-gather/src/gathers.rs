//! All gathers that are open, and what they share. Bounded: at the bound a new one is rejected and counted.
use crate::gather::{Gather, GatherAction, GatherEvent};
use crate::memory::{MemoryBudget, Size};
use crate::policy::Policy;
use crate::shared::{Counters, Shared};
use crate::zone_tracker::{ZoneReport, ZoneTracker};
use cluster_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long after its deadline a gather is remembered for late responses.
const LATE_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// The number of a gather.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatherId(pub u64);

/// As many gathers as may be are open: the client is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many gathers are open")]
pub struct TooManyGathers;

/// All gathers.
#[derive(Debug)]
pub struct Gathers<V> {
    capacity: usize,
    next_id: u64,
    open: BTreeMap<GatherId, Gather<V>>,
    /// When each is to be woken, or forgotten.
    wakeups: BTreeSet<(Time, GatherId)>,
    wakeup_of: BTreeMap<GatherId, Time>,
    /// The version of the zones' health that all gathers have been told of.
    health_version: u64,
    /// What they share.
    pub shared: Shared,
}

impl<V: Size> Gathers<V> {
    /// No gathers; at most so many at once, including those that only wait for late responses.
    pub fn new(capacity: usize, zones: ZoneTracker, budget: MemoryBudget) -> Gathers<V> {
        Gathers {
            capacity,
            next_id: 0,
            open: BTreeMap::new(),
            wakeups: BTreeSet::new(),
            wakeup_of: BTreeMap::new(),
            health_version: 0,
            shared: Shared { zones, budget, counters: Counters::default() },
        }
    }

    /// Starts a gather for a client that leaves at `client_deadline`.
    ///
    /// # Errors
    /// As many gathers as may be are open, and none of them only waits for late responses.
    pub fn start(
        &mut self,
        now: Time,
        policy: Arc<Policy>,
        client_deadline: Time,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) -> Result<GatherId, TooManyGathers> {
        self.free_capacity()?;
        let id = GatherId(self.next_id);
        self.next_id += 1;
        let mut actions = Vec::new();
        let gather = Gather::new(policy, now, client_deadline, &mut self.shared, &mut actions);
        self.open.insert(id, gather);
        out.extend(actions.into_iter().map(|action| (id, action)));
        self.reschedule(id);
        self.spread_health(now, out);
        Ok(id)
    }

    /// At the bound the oldest gather that only waits for late responses is forgotten.
    fn free_capacity(&mut self) -> Result<(), TooManyGathers> {
        if self.open.len() < self.capacity {
            return Ok(());
        }
        let over = self.open.iter().find(|(_, gather)| gather.is_over()).map(|(id, _)| *id);
        let Some(over) = over else {
            self.shared.counters.rejected += 1;
            return Err(TooManyGathers);
        };
        self.forget(over);
        Ok(())
    }

    /// Handles an event of one gather. One of an unknown gather is counted.
    pub fn handle(
        &mut self,
        now: Time,
        id: GatherId,
        event: GatherEvent<V>,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) {
        self.handle_one(now, id, event, out);
        self.spread_health(now, out);
    }

    /// Wakes all gathers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(GatherId, GatherAction<V>)>) {
        while let Some((at, id)) = self.wakeups.first().copied().filter(|(at, _)| *at <= now) {
            if self.open.get(&id).is_none_or(Gather::is_over) {
                self.forget(id);
            } else {
                self.handle_one(now, id, GatherEvent::Tick, out);
            }
            // Guards against an endless loop over a gather that is still due at the same time.
            if self.wakeup_of.get(&id) == Some(&at) {
                break;
            }
        }
        self.spread_health(now, out);
    }

    /// Takes the other members' report on a zone.
    pub fn receive_report(
        &mut self,
        now: Time,
        report: &ZoneReport,
        out: &mut Vec<(GatherId, GatherAction<V>)>,
    ) {
        self.shared.zones.receive_report(now, report);
        self.spread_health(now, out);
    }

    /// When [`Gathers::tick`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeups.first().map(|(at, _)| *at)
    }

    /// How many are held, including those that only wait for late responses.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn handle_one(
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

    /// Tells all open gathers where the health of a zone has changed. Each round but the last ends gathers, so it terminates.
    fn spread_health(&mut self, now: Time, out: &mut Vec<(GatherId, GatherAction<V>)>) {
        while self.health_version != self.shared.zones.version() {
            self.health_version = self.shared.zones.version();
            let is_open = |(_, gather): &(&GatherId, &Gather<V>)| !gather.is_over();
            let open: Vec<GatherId> = self.open.iter().filter(is_open).map(|(id, _)| *id).collect();
            for id in open {
                self.handle_one(now, id, GatherEvent::ZoneHealthChanged, out);
            }
        }
    }

    /// Renews when a gather is woken, and forgets one that is finished.
    fn reschedule(&mut self, id: GatherId) {
        let wakeup = match self.open.get(&id) {
            Some(gather) if !gather.is_finished() => {
                gather.next_wakeup().unwrap_or(gather.deadline() + LATE_RESPONSE_TIME)
            }
            _ => return self.forget(id),
        };
        if let Some(before) = self.wakeup_of.insert(id, wakeup) {
            self.wakeups.remove(&(before, id));
        }
        self.wakeups.insert((wakeup, id));
    }

    fn forget(&mut self, id: GatherId) {
        self.open.remove(&id);
        if let Some(before) = self.wakeup_of.remove(&id) {
            self.wakeups.remove(&(before, id));
        }
    }
}
