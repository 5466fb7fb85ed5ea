//! One answer in the making.
//!
//! - It ends as soon as nothing that is out is worth waiting for any more: all parts have ended, or the waits of the
//!   others are over. Where what came suffices it still waits for missing parts until then, for a whole answer is worth
//!   more than a part-answer in time; a hall in doubt makes that wait short, or none.
//! - It fails at once where no answer is possible any more, with the hint of refused parts where one was given.
//! - A part whose wait is over while others are waited for stays out; its value is taken as long as the answer is not out.
//! - The end of all waits is the client's deadline less the way back. Whatever comes after the answer is counted only.
use crate::answer::{Answer, Why};
use crate::hall::Stage;
use crate::halls::Halls;
use crate::memory::{Budget, Size};
use crate::open::Counters;
use crate::policy::Policy;
use crate::slot::Slot;
use cluster_types::{Time, Zone};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What all gathers of a process share.
#[derive(Debug)]
pub struct Shared {
    /// What is known of the halls.
    pub halls: Halls,
    /// The bound on bytes.
    pub budget: Budget,
    /// Counts since the start.
    pub counts: Counters,
}

/// How a part's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended<V> {
    /// With a value.
    Served(V),
    /// The module turned it away; with its hint. The gather does not ask again.
    Refused(Option<Duration>),
    /// It failed. `reached` where a box answered so: that says nothing against the hall.
    Failed {
        /// Why, in few words.
        reason: Cow<'static, str>,
        /// Whether a box answered.
        reached: bool,
    },
}

/// What a gather is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<V> {
    /// A part's request ended.
    Ended {
        /// Its place in the tier.
        part: usize,
        /// How.
        result: Ended<V>,
    },
    /// Time has passed.
    Tick,
    /// A hall's judgement has changed.
    HallChanged,
    /// Its client has left.
    ClientLeft,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action<V> {
    /// Ask for a part, as a request of its own.
    Ask {
        /// Its place in the tier.
        part: usize,
        /// Until when its request may run.
        until: Time,
    },
    /// Its value is not wanted any more. Its end is still told, if it comes.
    Drop {
        /// Its place in the tier.
        part: usize,
    },
    /// The one answer.
    Answer(Answer<V>),
}

/// One gather.
#[derive(Debug)]
pub struct Gather<V> {
    pub(crate) policy: Arc<Policy>,
    end: Time,
    remote_end: Time,
    pub(crate) slots: Vec<Slot<V>>,
    /// For each part whose request ended, whether a box answered; none where that tells nothing.
    pub(crate) reached: Vec<Option<bool>>,
    pub(crate) over: bool,
}

impl<V: Size> Gather<V> {
    /// Begins: asks for the parts that there is memory and a point in asking for. `until` is when its client leaves.
    pub fn new(
        policy: Arc<Policy>,
        now: Time,
        until: Time,
        shared: &mut Shared,
        out: &mut Vec<Action<V>>,
    ) -> Self {
        let end = (until - policy.way_back()).max(now);
        let remote_end = (now + policy.remote_wait(until.since(now))).min(end);
        let slots = policy.parts.iter().map(|_| Slot::Missing(Why::Late, None)).collect();
        let reached = vec![None; policy.parts.len()];
        let mut gather = Gather { policy, end, remote_end, slots, reached, over: false };
        shared.counts.begun += 1;
        if now < end {
            gather.ask(now, shared, out);
        }
        gather.settle(now, shared, out);
        gather
    }

    pub(crate) fn full(&self, halls: &Halls, hall: &Zone) -> Time {
        if halls.is_remote(hall) {
            self.remote_end
        } else {
            self.end
        }
    }

    fn ask(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action<V>>) {
        let policy = self.policy.clone();
        let well = |i: usize| shared.halls.stage(now, &policy.parts[i].hall) == Stage::Well;
        let needed = !policy.answers(well);
        let mut outlooks = BTreeMap::new();
        for hall in policy.by_hall().into_keys() {
            let left = self.full(&shared.halls, hall).since(now);
            let outlook = shared.halls.outlook(now, hall, left, needed);
            shared.counts.trials += u64::from(outlook.trial);
            outlooks.insert(hall.clone(), outlook);
        }
        let mut kept = 0u64;
        for i in policy.order() {
            let Some(outlook) = outlooks.get(&policy.parts[i].hall) else { continue };
            let bytes = policy.bytes(i);
            let fits = kept.saturating_add(bytes) <= policy.most_bytes && bytes <= shared.budget.most();
            self.slots[i] = if !outlook.ask {
                shared.counts.not_asked += 1;
                Slot::Missing(Why::CutOff, None)
            } else if !fits {
                shared.counts.too_large += 1;
                Slot::Missing(Why::Failed("too large".into()), None)
            } else if let Some(held) = shared.budget.take(bytes) {
                kept += bytes;
                out.push(Action::Ask { part: i, until: self.end });
                let until = now + outlook.wait;
                Slot::Out { asked: now, until, least: if outlook.trial { until } else { now }, held }
            } else {
                shared.counts.no_room += 1;
                Slot::Missing(Why::Refused, None)
            };
        }
    }

    /// Takes an event. What does not fit changes nothing and is counted.
    pub fn handle(&mut self, now: Time, event: Event<V>, shared: &mut Shared, out: &mut Vec<Action<V>>) {
        if !self.over && now > self.end && !matches!(event, Event::ClientLeft) {
            // It was woken too late: what comes only now came after the end.
            shared.counts.overdue += 1;
            self.conclude(now, shared, out);
        }
        match event {
            Event::Ended { part, result } if self.over => self.after(now, part, result, shared),
            Event::Ended { part, result } => self.ended(now, part, result, shared),
            Event::HallChanged if !self.over => self.look_again(now, shared),
            Event::ClientLeft if !self.over => {
                shared.counts.left += 1;
                self.report(now, shared);
                self.drop_rest(out);
            }
            Event::ClientLeft | Event::HallChanged | Event::Tick => {}
        }
        self.settle(now, shared, out);
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        let last = self.slots.iter().filter_map(Slot::until).max()?;
        (!self.over).then(|| last.min(self.end))
    }

    /// Whether it has ended: answered, or left by its client.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Whether it has ended, and no part of it is out.
    pub fn idle(&self) -> bool {
        self.over && !self.slots.iter().any(|s| matches!(s, Slot::Dropped(_)))
    }

    /// The bytes of the budget that it holds.
    pub fn held(&self) -> u64 {
        self.slots.iter().map(Slot::bytes).sum()
    }

    /// When its last part must have ended.
    pub fn end(&self) -> Time {
        self.end
    }

    fn settle(&mut self, now: Time, shared: &mut Shared, out: &mut Vec<Action<V>>) {
        let possible = self.policy.answers(|i| self.slots[i].hopeful());
        let waiting = self.slots.iter().filter_map(Slot::until).any(|until| until > now) && now < self.end;
        let worth_it = possible && waiting;
        if !self.over && !worth_it {
            self.conclude(now, shared, out);
        }
    }
}
