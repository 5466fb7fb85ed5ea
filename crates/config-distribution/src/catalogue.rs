//! What the log of changes comes to: of each key the newest value. Any two that have applied the same hold the same.
mod pieces;

use crate::digest::part;
use crate::names::{Change, Class, Key, Order, Topic};
use crate::scope::Scope;
use cluster_types::Index;
pub(crate) use pieces::Place;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

/// So many withdrawn keys are remembered, for those who still hold them; beyond it the oldest are forgotten.
const WITHDRAWN: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Entry {
    version: Index,
    class: Option<Class>,
    value: Option<Arc<[u8]>>,
}

#[derive(Clone, Debug, Default)]
struct Shelf {
    entries: BTreeMap<Arc<str>, Entry>,
    sum: u64,
}

/// The newest value of each key.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    lineage: u64,
    applied: Index,
    floor: Index,
    topics: BTreeMap<Topic, Shelf>,
    order: BTreeSet<(Index, Key)>,
    withdrawn: BTreeSet<(Index, Key)>,
    bytes: usize,
}

/// What has changed since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// These changes, in the order of the log; with them everything up to `applied` is held.
    Changes(Vec<Change>),
    /// It can't be told any more, or is more than was asked for: a snapshot is due.
    Snapshot,
}

impl Catalogue {
    /// An empty one of a log. Logs that have nothing to do with each other have different lineages.
    pub fn new(lineage: u64) -> Catalogue {
        Catalogue { lineage, ..Catalogue::default() }
    }

    /// Which log it follows.
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Up to where the log is in it.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// From which version on changes can be told one by one.
    pub fn floor(&self) -> Index {
        self.floor
    }

    /// Keys that have a value, and the bytes of what is held.
    pub fn size(&self) -> (usize, usize) {
        (self.order.len() - self.withdrawn.len(), self.bytes)
    }

    /// Takes in what an entry of the log orders; an entry that was taken in before changes nothing. Tells what has changed.
    pub fn apply(&mut self, version: Index, order: &Order) -> Vec<Change> {
        if version <= self.applied {
            return vec![];
        }
        let changes: Vec<Change> = order
            .puts
            .iter()
            .map(|put| Change { version, class: put.class, key: put.key.clone(), value: put.value.clone() })
            .collect();
        self.take(&changes, version);
        changes
    }

    /// Takes in changes as another catalogue tells them, up to and with a version.
    pub fn take(&mut self, changes: &[Change], upto: Index) {
        changes.iter().for_each(|change| self.put(change));
        self.applied = self.applied.max(upto);
        while self.withdrawn.len() > WITHDRAWN {
            let Some((version, key)) = self.withdrawn.pop_first() else { break };
            self.floor = self.floor.max(version);
            self.order.remove(&(version, key.clone()));
            if let Some(shelf) = self.topics.get_mut(&key.topic) {
                shelf.entries.remove(&key.name);
                shelf.sum ^= part(&key, version, &[]);
            }
        }
    }

    /// Becomes what a whole snapshot of a version holds; nothing before that can be told one by one.
    pub fn restore(&mut self, lineage: u64, changes: &[Change], upto: Index) {
        *self = Catalogue::new(lineage);
        self.take(changes, upto);
        self.floor = upto;
    }

    /// The log went on without an order for the catalogue.
    pub fn pass(&mut self, version: Index) {
        self.applied = self.applied.max(version);
    }

    fn put(&mut self, change: &Change) {
        let key = &change.key;
        let shelf = self.topics.entry(key.topic.clone()).or_default();
        let entry = shelf.entries.entry(key.name.clone()).or_default();
        // Guards against an older value over a newer one, whatever order things come in.
        if entry.class.is_some() && entry.version >= change.version {
            return;
        }
        if entry.class.is_some() {
            shelf.sum ^= part(key, entry.version, entry.value.as_deref().unwrap_or_default());
            self.bytes -= entry.value.as_ref().map_or(0, |v| v.len());
            self.order.remove(&(entry.version, key.clone()));
            self.withdrawn.remove(&(entry.version, key.clone()));
        }
        let Change { version, class, value, .. } = change.clone();
        shelf.sum ^= part(key, version, value.as_deref().unwrap_or_default());
        self.bytes += value.as_ref().map_or(0, |v| v.len());
        self.order.insert((version, key.clone()));
        if value.is_none() {
            self.withdrawn.insert((version, key.clone()));
        }
        *entry = Entry { version, class: Some(class), value };
    }

    /// The newest value of a key.
    pub fn get(&self, key: &Key) -> Option<(Index, &Arc<[u8]>)> {
        let entry = self.topics.get(&key.topic)?.entries.get(&key.name)?;
        Some((entry.version, entry.value.as_ref()?))
    }

    /// The first change in a scope after a version: its version and class.
    pub fn next(&self, scope: &Scope, after: Index) -> Option<(Index, Class)> {
        self.after(after).find(|(_, key)| scope.holds(&key.topic)).map(|(v, key)| (*v, self.class(key)))
    }

    fn class(&self, key: &Key) -> Class {
        let entry = self.topics.get(&key.topic).and_then(|t| t.entries.get(&key.name));
        entry.and_then(|e| e.class).unwrap_or(Class::Configuration)
    }

    fn after(&self, version: Index) -> impl Iterator<Item = &(Index, Key)> {
        // The least key of all begins the versions after this one.
        let first = (Index(version.0.saturating_add(1)), Key::new(Topic::Fleet, ""));
        self.order.range((Bound::Included(first), Bound::Unbounded))
    }

    /// All changes in a scope since a version, at most so many bytes.
    pub fn since(&self, scope: &Scope, from: Index, most: usize) -> Since {
        if from < self.floor {
            return Since::Snapshot;
        }
        let (mut changes, mut bytes) = (vec![], 0);
        for (version, key) in self.after(from).filter(|(_, key)| scope.holds(&key.topic)) {
            let change = self.change(*version, key);
            bytes += change.bytes();
            if bytes > most {
                return Since::Snapshot;
            }
            changes.push(change);
        }
        Since::Changes(changes)
    }

    fn change(&self, version: Index, key: &Key) -> Change {
        let entry = self.topics.get(&key.topic).and_then(|t| t.entries.get(&key.name));
        let value = entry.and_then(|e| e.value.clone());
        Change { version, class: self.class(key), key: key.clone(), value }
    }

    /// The sum over what a scope holds, withdrawn keys left out.
    pub fn sum(&self, scope: &Scope) -> u64 {
        let withdrawn = self.withdrawn.iter().filter(|(_, key)| scope.holds(&key.topic));
        let sums: u64 = match scope {
            Scope::Everything => self.topics.values().fold(0, |sum, shelf| sum ^ shelf.sum),
            Scope::Topics(topics) => {
                topics.iter().filter_map(|t| self.topics.get(t)).fold(0, |sum, shelf| sum ^ shelf.sum)
            }
        };
        withdrawn.fold(sums, |sum, (version, key)| sum ^ part(key, *version, &[]))
    }
}
