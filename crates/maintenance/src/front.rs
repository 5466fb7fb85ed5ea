//! A front's own side: it follows the desk's orders as far as its lease goes.
//!
//! While the lease is out the front can't know whether its grant still runs, and acts as if it had ended: what is drained
//! stays drained, nothing new is taken out and nothing comes back. Regained, it takes up what was ordered meanwhile.
mod event;
mod follow;

use cluster_types::{BackendId, Index, Time};
pub use event::{Action, Event};
use follow::tell;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A report that is not in the log is made again after that.
const AGAIN: Duration = Duration::from_secs(1);

/// What the desk orders a front to do with a box; with a box that has no order, nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Send nothing new there.
    Drain {
        /// The grant.
        grant: Index,
        /// Whether its report is in the log.
        heard: bool,
    },
    /// Keep to a part of its cold budget; without any it stays drained.
    Part {
        /// The step.
        number: Index,
        /// Parts per thousand.
        part: u16,
        /// Whether its report is in the log.
        heard: bool,
    },
}

/// How far a box comes back at this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Share {
    /// So many parts per thousand of its cold budget.
    Part(u16),
    /// As any other.
    Whole,
}

/// What a front tells the log, by its own word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// All boxes of the grant are drained here.
    Drained {
        /// The grant.
        grant: Index,
    },
    /// It keeps to its part.
    Staged {
        /// The box.
        id: BackendId,
        /// The step.
        number: Index,
    },
}

/// What a front does with a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Doing {
    Drain(Index),
    Part(Index, u16),
    /// Drained by a log that is no more. Only an operator ends it, or an order of the log that there is now.
    Orphan,
}

/// What must outlive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    seen: Index,
    boxes: BTreeMap<BackendId, Doing>,
}

#[derive(Clone, Debug)]
struct Held {
    doing: Doing,
    told: Time,
    /// As of when the module's figures are.
    as_of: Option<Time>,
    quiet: bool,
    heard: bool,
    reported: Option<Time>,
    serial: u64,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct FrontSide {
    rule: Duration,
    seen: Index,
    held: BTreeMap<BackendId, Held>,
    pending: Option<(Index, BTreeMap<BackendId, Order>)>,
    lease: Option<Time>,
    serial: u64,
    saved: u64,
    late: u64,
    stale: u64,
}

impl FrontSide {
    /// `rule` is the drain rule: so long after being told nothing new goes there. What was kept holds from now on, lease or not.
    pub fn new(rule: Duration, kept: Option<Kept>, now: Time, out: &mut Vec<Action>) -> FrontSide {
        let Kept { seen, boxes } = kept.unwrap_or_default();
        let held = boxes.into_iter().map(|(id, doing)| {
            out.push(tell(&id, doing));
            (id, Held::new(doing, now, 0))
        });
        let held = held.collect();
        let (lease, pending) = (None, None);
        FrontSide { rule, seen, held, pending, lease, serial: 0, saved: 0, late: 0, stale: 0 }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Orders { index, orders } => {
                let newest = self.pending.as_ref().map_or(self.seen, |(at, _)| *at);
                if index < newest {
                    self.stale += 1;
                    return;
                }
                self.pending = Some((index, orders));
            }
            Event::Lease { until } => self.lease = self.lease.max(Some(until)),
            Event::Figures { id, out: count, last_send, at } => {
                self.figures(now, &id, count, last_send, at, out)
            }
            Event::Saved { serial } => self.saved = self.saved.max(serial.min(self.serial)),
            Event::Refounded => self.refounded(out),
            Event::Release { id } => {
                if self.held.get(&id).is_some_and(|h| h.doing == Doing::Orphan) {
                    self.held.remove(&id);
                    out.push(Action::Undrain { id, share: Share::Whole });
                    self.keep(out);
                }
            }
        }
        if self.leased(now) {
            self.follow(now, out);
            self.report(now, out);
        }
    }

    /// Whether the lease runs.
    pub fn leased(&self, now: Time) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        let open = self.held.values().filter(|h| !h.heard && h.doing != Doing::Orphan);
        open.filter_map(|h| match (h.reported, h.doing) {
            (Some(at), _) => Some(at + AGAIN),
            (None, Doing::Part(..)) => Some(h.told + self.rule),
            (None, _) => None,
        })
        .min()
    }

    /// The boxes to which nothing goes.
    pub fn drained(&self) -> BTreeSet<BackendId> {
        let drained = self.held.iter().filter(|(_, h)| h.doing.drains());
        drained.map(|(id, _)| id.clone()).collect()
    }

    /// How often something was sent to a drained box later than the rule allows.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// How many orders came from before what it had followed.
    pub fn stale(&self) -> u64 {
        self.stale
    }
}
