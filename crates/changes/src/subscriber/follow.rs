//! What relays say.
use super::decide::Deciding;
use super::{Action, Subscriber};
use crate::message::FromRelay;
use crate::names::{Change, Key};
use backoff::Failure;
use fleet::{Index, Time};
use std::collections::BTreeMap;

/// The most keys that a snapshot may have.
const KEYS: usize = 1 << 18;

/// What has come of a snapshot.
#[derive(Debug)]
pub(super) struct Staging {
    base: Index,
    complete: bool,
    entries: BTreeMap<Key, Change>,
}

impl Subscriber {
    pub(super) fn message(&mut self, now: Time, call: u64, message: FromRelay, out: &mut Vec<Action>) {
        if !self.calls.contains(&call) {
            return;
        }
        match message {
            FromRelay::Subscribed { lineage } => return self.subscribed(now, call, lineage, out),
            FromRelay::Later => return self.leave(now, call, Failure::Overbooked, out),
            _ => {}
        }
        if self.follows != Some(call) {
            return self.bad(now, call, out);
        }
        self.heard = now;
        if self.deciding.is_some() && !matches!(message, FromRelay::Alive { .. }) {
            // A relay sends no second one before the first is answered; this one is of a link that is new.
            self.waiting = Some((call, message));
            return;
        }
        match message {
            FromRelay::Changes { from, upto, changes } => self.changes(now, call, (from, upto), changes, out),
            FromRelay::Piece { base, first, last, entries } => {
                self.piece(now, call, (base, first, last), entries, out);
            }
            FromRelay::Alive { upto, sum } => self.alive(call, upto, sum, out),
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
            return;
        }
        // The upper bits of a lineage are the time of its founding: the later one is the fleet's.
        if self.follows.is_some() || lineage < self.held.lineage() || lineage == 0 {
            self.figures.foreign += u64::from(self.follows.is_none());
            return self.leave(now, call, Failure::Overbooked, out);
        }
        self.heard = now;
        self.follow(now, call, out);
        self.passed = 0;
        self.lineage = lineage;
    }

    fn changes(
        &mut self,
        now: Time,
        call: u64,
        (from, upto): (Index, Index),
        changes: Vec<Change>,
        out: &mut Vec<Action>,
    ) {
        let within = |c: &Change| c.version > from && c.version <= upto && self.scope.holds(&c.key.topic);
        let proper = upto >= from && changes.iter().all(within);
        match self.staging.take() {
            Some(mut staging) if proper && staging.complete && staging.base == from => {
                for change in changes {
                    staging.newest(change);
                }
                let entries = staging.entries.into_values().filter(|c| c.value.is_some()).collect();
                self.decide(Deciding::whole(self.lineage, upto, entries), out);
            }
            None if proper
                && (from..=upto).contains(&self.place())
                && self.lineage == self.held.lineage() =>
            {
                let newer = |c: &Change| self.held.version(&c.key).is_none_or(|held| held < c.version);
                let changes = changes.into_iter().filter(newer).collect();
                self.decide(Deciding::part(upto, changes), out);
            }
            _ => self.bad(now, call, out),
        }
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
            self.staging = Some(Staging { base, complete: false, entries: BTreeMap::new() });
        }
        let scope = &self.scope;
        let staging = self.staging.as_mut().filter(|s| s.base == base && !s.complete);
        let proper = entries.iter().all(|c| scope.holds(&c.key.topic) && c.value.is_some());
        // Nothing older than what was held may come back through a snapshot: a relay that is behind is left.
        if self.lineage == self.held.lineage() && base < self.held.highest() {
            self.staging = None;
            return self.leave(now, call, Failure::Overbooked, out);
        }
        let Some(staging) = staging.filter(|s| proper && s.entries.len() + entries.len() <= KEYS) else {
            self.staging = None;
            return self.bad(now, call, out);
        };
        entries.into_iter().for_each(|change| staging.newest(change));
        staging.complete = last;
        if !last {
            out.push(Action::Send { call, message: crate::message::ToRelay::Next });
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
