//! What relays say.
use super::decide::Deciding;
use super::{Action, Subscriber};
use crate::message::{FromRelay, ToRelay};
use crate::names::{Change, Key};
use backoff::Failure;
use cluster_types::{Index, Time};
use std::collections::BTreeMap;

/// The most keys that a snapshot may have.
const KEYS: usize = 1 << 18;

/// So many messages may wait for a decision: the last piece of a snapshot and what makes it whole.
const WAITING: usize = 2;
/// The most that a snapshot may have, in bytes.
const BYTES: usize = 1 << 28;

/// What has come of a snapshot.
#[derive(Debug)]
pub(super) struct Staging {
    base: Index,
    complete: bool,
    bytes: usize,
    entries: BTreeMap<Key, Change>,
}

impl Subscriber {
    pub(super) fn message(&mut self, now: Time, call: u64, message: FromRelay, out: &mut Vec<Action>) {
        if self.relay_of(call).is_none() {
            return;
        }
        match message {
            FromRelay::Subscribed { lineage } => return self.subscribed(now, call, lineage, out),
            FromRelay::Later => return self.leave(now, call, Failure::Overloaded, out),
            _ => {}
        }
        if self.follows != Some(call) {
            return self.bad(now, call, out);
        }
        self.heard = now;
        if let FromRelay::Alive { alone, .. } = &message {
            self.relay_alone = alone.map(|span| now - span);
        }
        if self.asked {
            // It was on its way before the relay heard that all is asked for anew.
            return;
        }
        if self.deciding.is_some() && !matches!(message, FromRelay::Alive { .. } | FromRelay::Fleet(_)) {
            // A relay sends nothing more before it has its answer; these are of a link that is new.
            if self.waiting.len() >= WAITING {
                return self.bad(now, call, out);
            }
            self.waiting.push_back((call, message));
            return;
        }
        match message {
            FromRelay::Changes { from, upto, changes } => self.changes(now, call, (from, upto), changes, out),
            FromRelay::Piece { base, first, last, entries } => {
                self.piece(now, call, (base, first, last), entries, out);
            }
            FromRelay::Alive { upto, sum, .. } => self.alive(call, upto, sum, out),
            FromRelay::Fleet(_) | FromRelay::Subscribed { .. } | FromRelay::Later => {}
        }
    }

    fn leave(&mut self, now: Time, call: u64, failure: Failure, out: &mut Vec<Action>) {
        out.push(Action::Close { call });
        self.down(now, call, failure);
    }

    fn bad(&mut self, now: Time, call: u64, out: &mut Vec<Action>) {
        self.figures.bad += 1;
        self.leave(now, call, Failure::Ended, out);
    }

    fn subscribed(&mut self, now: Time, call: u64, lineage: u64, out: &mut Vec<Action>) {
        if self.follows == Some(call) {
            // A relay whose log has become another one meanwhile closes the connection.
            return match std::mem::take(&mut self.asked) && lineage == self.lineage {
                true => self.refusing(call, out),
                false => self.bad(now, call, out),
            };
        }
        // The upper bits of a lineage are the time of its founding: the later one is the fleet's.
        if self.follows.is_some() || lineage < self.held.lineage() || lineage == 0 {
            self.figures.foreign += u64::from(self.follows.is_none());
            return self.leave(now, call, Failure::Overloaded, out);
        }
        self.heard = now;
        self.follow(now, call, out);
        self.lineage = lineage;
        self.refusing(call, out);
    }

    /// Tells a relay that is new what is refused.
    fn refusing(&mut self, call: u64, out: &mut Vec<Action>) {
        let refused = self.held.refused();
        if !refused.is_empty() && self.lineage == self.held.lineage() {
            out.push(Action::Send { call, message: ToRelay::Decided { upto: self.from, refused } });
        }
    }

    fn changes(
        &mut self,
        now: Time,
        call: u64,
        (from, upto): (Index, Index),
        changes: Vec<Change>,
        out: &mut Vec<Action>,
    ) {
        let within = |c: &Change| {
            c.version > from && c.version <= upto && self.scope.holds(&c.key.topic) && c.bounded()
        };
        let proper = upto >= from && changes.iter().all(within);
        match self.staging.take() {
            Some(mut staging) if proper && staging.complete && staging.base == from => {
                for change in changes {
                    staging.newest(change);
                }
                if staging.entries.values().any(|c| c.version > upto || self.older(c)) {
                    return self.bad(now, call, out);
                }
                let entries = staging.entries.into_values().filter(|c| c.value.is_some()).collect();
                self.decide(Deciding::whole(self.lineage, upto, entries).answering(call, upto), out);
            }
            None if proper && from <= self.place() && self.lineage == self.held.lineage() => {
                // From a relay that is behind, some or all of it may be old: that changes nothing.
                self.figures.bad += u64::from(upto <= self.place() && !changes.is_empty());
                let place = self.place();
                let changes = changes.into_iter().filter(|c| c.version > place && !self.older(c)).collect();
                self.decide(Deciding::part(upto, changes).answering(call, upto), out);
            }
            _ => self.bad(now, call, out),
        }
    }

    /// Whether a newer value of its key is held.
    fn older(&self, change: &Change) -> bool {
        let held = self.held.version(&change.key).filter(|_| self.lineage == self.held.lineage());
        held.is_some_and(|held| held > change.version)
    }

    fn piece(
        &mut self,
        now: Time,
        call: u64,
        (base, first, last): (Index, bool, bool),
        entries: Vec<Change>,
        out: &mut Vec<Action>,
    ) {
        if first {
            self.staging = Some(Staging { base, complete: false, bytes: 0, entries: BTreeMap::new() });
        }
        let scope = &self.scope;
        let staging = self.staging.as_mut().filter(|s| s.base == base && !s.complete);
        let proper = entries.iter().all(|c| scope.holds(&c.key.topic) && c.bounded());
        // Nothing older than what was held may come back through a snapshot: a relay that is behind is left.
        if self.lineage == self.held.lineage() && base < self.held.highest() {
            self.staging = None;
            return self.leave(now, call, Failure::Overloaded, out);
        }
        let Some(staging) =
            staging.filter(|s| proper && s.entries.len() + entries.len() <= KEYS && s.bytes <= BYTES)
        else {
            self.staging = None;
            return self.bad(now, call, out);
        };
        staging.bytes += entries.iter().map(Change::bytes).sum::<usize>();
        entries.into_iter().for_each(|change| staging.newest(change));
        staging.complete = last;
        if !last {
            out.push(Action::Send { call, message: ToRelay::Next });
        }
    }

    fn alive(&mut self, call: u64, upto: Index, sum: Option<u64>, out: &mut Vec<Action>) {
        if self.staging.is_some() || self.deciding.is_some() || self.lineage != self.held.lineage() {
            return;
        }
        if upto < self.place() {
            return;
        }
        if sum.is_some_and(|sum| sum != self.held.sum()) {
            // Something was missed, or is held that is not there any more: all of it is asked for.
            self.figures.missed += 1;
            self.held.rewind();
            self.asked = true;
            return self.subscribe(call, out);
        }
        self.held.pass(upto);
    }
}

impl Staging {
    fn newest(&mut self, change: Change) {
        let held = self.entries.get(&change.key).is_some_and(|held| held.version >= change.version);
        if !held {
            self.entries.insert(change.key.clone(), change);
        }
    }
}
