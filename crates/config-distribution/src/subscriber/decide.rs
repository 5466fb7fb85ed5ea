//! Putting in force: whole or not at all.
use super::{Action, Subscriber};
use crate::message::ToRelay;
use crate::names::{Change, Class, Key};
use cluster_types::{Index, Time};
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
    /// The connection that it came on, and up to where its relay is to be told.
    answer: Option<(u64, Index)>,
}

impl Deciding {
    pub(super) fn whole(lineage: u64, upto: Index, changes: Vec<Change>) -> Deciding {
        Deciding { upto, whole: Some(lineage), changes, refused: vec![], answer: None }
    }

    pub(super) fn part(upto: Index, changes: Vec<Change>) -> Deciding {
        Deciding { upto, whole: None, changes, refused: vec![], answer: None }
    }

    /// To be answered on a connection.
    pub(super) fn answering(self, call: u64, upto: Index) -> Deciding {
        Deciding { answer: Some((call, upto)), ..self }
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
        while self.deciding.is_none() {
            let Some((call, message)) = self.waiting.pop_front() else { return };
            self.message(now, call, message, out);
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
        // In a snapshot, what was in force before it stays, though its order has another value that is refused now.
        let held = &self.held;
        let before = |c: &Change| {
            deciding.whole == Some(held.lineage()) && held.get(&c.key).is_some_and(|(v, _)| v == c.version)
        };
        let falls = |c: &Change| faulty(c) || orders.contains(&c.version) && !before(c);
        let (fallen, mut left): (Vec<_>, Vec<_>) = deciding.changes.into_iter().partition(falls);
        if fallen.is_empty() {
            // Guards against a host that refuses what it was not asked about: all of it is refused.
            let all = left.into_iter().map(|c| (c, "refused".to_string()));
            deciding.refused.extend(all);
            deciding.changes = vec![];
            return self.settle(deciding, out);
        }
        // What was refused once and falls again is the old value, which was to stay in its place.
        let again: BTreeSet<Key> = deciding.refused.iter().map(|(c, _)| c.key.clone()).collect();
        let fallen: Vec<Change> = fallen.into_iter().filter(|c| !again.contains(&c.key)).collect();
        self.figures.refused += fallen.len() as u64;
        if let Some(lineage) = deciding.whole {
            let stays = |c: &Change| self.held.stays(&c.key, lineage).filter(|old| old.version < c.version);
            left.extend(fallen.iter().filter_map(stays));
        }
        let with = "ordered together with a value that is refused";
        let told = fallen.into_iter().map(|c| (why(&c.key).unwrap_or_else(|| with.into()), c));
        deciding.refused.extend(told.map(|(why, c)| (c, why)));
        deciding.changes = left;
        self.decide(deciding, out);
    }

    fn settle(&mut self, deciding: Deciding, out: &mut Vec<Action>) {
        let Deciding { upto, whole, changes, refused, answer } = deciding;
        self.figures.taken += changes.len() as u64;
        // A shard's box and all of a scope are kept at once; configuration waits for its turn.
        if whole.is_some() || changes.iter().any(|c| c.class == Class::Primary) {
            self.kept = None;
        }
        whole.into_iter().for_each(|lineage| self.held.begin(lineage));
        for change in changes {
            self.held.put(change, None);
        }
        for (change, why) in refused {
            self.held.put(change, Some(why));
        }
        self.figures.snapshots += u64::from(whole.is_some());
        self.held.pass(upto);
        if std::mem::take(&mut self.rescoped) {
            self.held.rewind();
        }
        if let Some((call, upto)) = answer.filter(|(call, _)| self.follows == Some(*call)) {
            out.push(Action::Send { call, message: ToRelay::Decided { upto, refused: self.held.refused() } });
        }
        self.unkept = self.keeps;
    }
}
