//! Putting in force: whole or not at all.
use super::{Action, Subscriber};
use crate::message::ToRelay;
use crate::names::{Change, Key};
use fleet::{Index, Time};
use std::collections::BTreeSet;

/// What is being decided.
#[derive(Debug)]
pub(super) struct Deciding {
    upto: Index,
    /// All that there is of a log, rather than what has changed.
    whole: Option<u64>,
    changes: Vec<Change>,
    /// What was refused so far, and why.
    refused: Vec<(Change, String)>,
}

impl Deciding {
    pub(super) fn whole(lineage: u64, upto: Index, changes: Vec<Change>) -> Deciding {
        Deciding { upto, whole: Some(lineage), changes, refused: vec![] }
    }

    pub(super) fn part(upto: Index, changes: Vec<Change>) -> Deciding {
        Deciding { upto, whole: None, changes, refused: vec![] }
    }
}

impl Subscriber {
    pub(super) fn decide(&mut self, deciding: Deciding, out: &mut Vec<Action>) {
        let (whole, changes) = (deciding.whole.is_some(), deciding.changes.clone());
        self.deciding = Some(deciding);
        match changes.is_empty() && !whole {
            true => self.decided(vec![], out),
            false => out.push(Action::Decide { whole, changes }),
        }
    }

    /// The host has decided; what came meanwhile is looked at then.
    pub(super) fn answered(&mut self, now: Time, refused: Vec<(Key, String)>, out: &mut Vec<Action>) {
        self.decided(refused, out);
        if self.deciding.is_none() {
            if let Some((call, message)) = self.waiting.take() {
                self.message(now, call, message, out);
            }
        }
    }

    fn decided(&mut self, refused: Vec<(Key, String)>, out: &mut Vec<Action>) {
        let Some(mut deciding) = self.deciding.take() else { return };
        if refused.is_empty() {
            return self.settle(deciding, out);
        }
        // Orders go whole or not at all: what was ordered with a refused value is refused with it.
        let why = |key: &Key| refused.iter().find(|(k, _)| k == key).map(|(_, why)| why.clone());
        let faulty = |c: &Change| why(&c.key).is_some();
        let orders: BTreeSet<Index> =
            deciding.changes.iter().filter(|c| faulty(c)).map(|c| c.version).collect();
        let whole = deciding.whole.is_some();
        let falls = |c: &Change| if whole { faulty(c) } else { orders.contains(&c.version) };
        let (fallen, left): (Vec<_>, Vec<_>) = deciding.changes.into_iter().partition(falls);
        if fallen.is_empty() {
            // Guards against a host that refuses what it was not asked about: all of it is refused.
            let all = left.into_iter().map(|c| (c, "refused".to_string()));
            deciding.refused.extend(all);
            deciding.changes = vec![];
            return self.settle(deciding, out);
        }
        self.figures.refused += fallen.len() as u64;
        let with = "ordered together with a value that is refused";
        let told = fallen.into_iter().map(|c| (why(&c.key).unwrap_or_else(|| with.into()), c));
        deciding.refused.extend(told.map(|(why, c)| (c, why)));
        deciding.changes = left;
        self.decide(deciding, out);
    }

    fn settle(&mut self, deciding: Deciding, out: &mut Vec<Action>) {
        let Deciding { upto, whole, changes, refused } = deciding;
        self.figures.taken += changes.len() as u64;
        let before = whole.map(|lineage| self.held.begin(lineage));
        for change in changes {
            self.held.put(change, None);
        }
        for (change, why) in refused {
            let key = change.key.clone();
            self.held.put(change, Some(why));
            before.iter().for_each(|before| self.held.keep(&key, before));
        }
        self.figures.snapshots += u64::from(whole.is_some());
        self.held.pass(upto);
        if let Some(call) = self.follows {
            out.push(Action::Send { call, message: ToRelay::Decided { upto, refused: self.held.refused() } });
        }
        if self.keeps {
            out.push(Action::Keep(self.held.store()));
        }
    }
}
