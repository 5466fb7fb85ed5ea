//! All gathers that are open, with what they share. Bounded: at the bound it refuses and counts.
use crate::gather::{Action, Event, Gather, Shared};
use crate::halls::{HallNews, Halls};
use crate::memory::{Budget, Size};
use crate::policy::Policy;
use cluster_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How long after its end a gather is remembered for parts that come late.
const LINGER: Duration = Duration::from_secs(2);

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Gathers begun.
    pub begun: u64,
    /// Answered whole.
    pub whole: u64,
    /// Answered in part.
    pub in_part: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients before an answer.
    pub left: u64,
    /// Gathers turned away at the bound.
    pub full: u64,
    /// Gathers that were woken after their end.
    pub overdue: u64,
    /// Parts that came after the answer.
    pub late: u64,
    /// Ends of parts that were not out.
    pub stray: u64,
    /// Parts that were not asked, for their hall is cut off.
    pub not_asked: u64,
    /// Halls on trial in a gather.
    pub trials: u64,
    /// Parts too large for the bound of the gather or of all.
    pub too_large: u64,
    /// Parts that were not asked, for others hold the memory.
    pub no_room: u64,
}

/// The number of a gather.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatherId(pub u64);

/// As many gathers as may be are open: the client is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// All gathers.
#[derive(Debug)]
pub struct Gathers<V> {
    most: usize,
    next: u64,
    open: BTreeMap<GatherId, Gather<V>>,
    /// When each wants to be told of the time, and when it is forgotten.
    wakes: BTreeSet<(Time, GatherId)>,
    wake_of: BTreeMap<GatherId, Time>,
    seen: u64,
    /// What they share.
    pub shared: Shared,
}

impl<V: Size> Gathers<V> {
    /// None yet; at most so many at once, those included that have ended and whose parts are still out.
    pub fn new(most: usize, halls: Halls, budget: Budget) -> Gathers<V> {
        let shared = Shared { halls, budget, counts: Counters::default() };
        let (open, wakes, wake_of) = Default::default();
        Gathers { most, next: 0, open, wakes, wake_of, seen: 0, shared }
    }

    /// Begins a gather for a client that leaves at `until`.
    pub fn begin(
        &mut self,
        now: Time,
        policy: Arc<Policy>,
        until: Time,
        out: &mut Vec<(GatherId, Action<V>)>,
    ) -> Result<GatherId, Full> {
        if self.open.len() >= self.most {
            // Those that only wait for late parts make room first, the oldest of them.
            let ended = self.open.iter().find(|(_, g)| g.over()).map(|(id, _)| *id);
            let Some(ended) = ended else {
                self.shared.counts.full += 1;
                return Err(Full);
            };
            self.forget(ended);
        }
        let id = GatherId(self.next);
        self.next += 1;
        let mut actions = Vec::new();
        let gather = Gather::new(policy, now, until, &mut self.shared, &mut actions);
        self.open.insert(id, gather);
        out.extend(actions.into_iter().map(|a| (id, a)));
        self.keep(id);
        self.spread(now, out);
        Ok(id)
    }

    /// Takes an event of one gather. One that is not known (any more) is counted.
    pub fn handle(&mut self, now: Time, id: GatherId, event: Event<V>, out: &mut Vec<(GatherId, Action<V>)>) {
        self.one(now, id, event, out);
        self.spread(now, out);
    }

    /// Time has passed: wakes all that wanted so.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(GatherId, Action<V>)>) {
        while let Some((at, id)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            let lingers = self.open.get(&id).is_none_or(Gather::over);
            match lingers {
                true => self.forget(id),
                false => self.one(now, id, Event::Tick, out),
            }
            // Guards against one that wants to be woken at a time that has passed: no endless turn.
            if self.wake_of.get(&id) == Some(&at) {
                break;
            }
        }
        self.spread(now, out);
    }

    /// Others' word on a hall.
    pub fn heard(&mut self, now: Time, news: &HallNews, out: &mut Vec<(GatherId, Action<V>)>) {
        self.shared.halls.heard(now, news);
        self.spread(now, out);
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// How many are held, those included that only wait for late parts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn one(&mut self, now: Time, id: GatherId, event: Event<V>, out: &mut Vec<(GatherId, Action<V>)>) {
        let Some(gather) = self.open.get_mut(&id) else {
            self.shared.counts.stray += u64::from(matches!(event, Event::Ended { .. }));
            return;
        };
        let mut actions = Vec::new();
        gather.handle(now, event, &mut self.shared, &mut actions);
        out.extend(actions.into_iter().map(|a| (id, a)));
        self.keep(id);
    }

    /// Tells all open gathers where a hall's judgement has changed. Each turn but the last ends gathers, so it ends.
    fn spread(&mut self, now: Time, out: &mut Vec<(GatherId, Action<V>)>) {
        while self.seen != self.shared.halls.version() {
            self.seen = self.shared.halls.version();
            let open: Vec<GatherId> =
                self.open.iter().filter(|(_, g)| !g.over()).map(|(id, _)| *id).collect();
            open.into_iter().for_each(|id| self.one(now, id, Event::HallChanged, out));
        }
    }

    /// Renews when a gather is woken, and forgets one that has nothing out.
    fn keep(&mut self, id: GatherId) {
        let wake = match self.open.get(&id) {
            Some(gather) if !gather.idle() => gather.wake().unwrap_or(gather.end() + LINGER),
            _ => return self.forget(id),
        };
        if let Some(old) = self.wake_of.insert(id, wake) {
            self.wakes.remove(&(old, id));
        }
        self.wakes.insert((wake, id));
    }

    fn forget(&mut self, id: GatherId) {
        self.open.remove(&id);
        if let Some(old) = self.wake_of.remove(&id) {
            self.wakes.remove(&(old, id));
        }
    }
}
