//! What a subscriber holds: the newest of each key, in force or refused.
use crate::digest::part;
use crate::message::{Refusal, WHY};
use crate::names::{Change, Key};
use crate::report::WORST;
use crate::scope::Scope;
use crate::stored::{encode, Stored};
use cluster_types::Index;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
struct Value {
    /// What is in force; none where nothing ever was.
    force: Option<Change>,
    /// The newest, where it was refused, and why.
    refused: Option<(Change, String)>,
}

impl Value {
    fn newest(&self) -> Option<&Change> {
        self.refused.as_ref().map(|(change, _)| change).or(self.force.as_ref())
    }
}

/// All that is held of a scope.
#[derive(Clone, Debug, Default)]
pub struct Held {
    lineage: u64,
    upto: Index,
    /// The greatest that `upto` ever was: nothing older may come back, also where all is asked for anew.
    highest: Index,
    values: BTreeMap<Key, Value>,
    sum: u64,
    /// Keys whose newest value was refused.
    refusing: BTreeSet<Key>,
}

impl Held {
    /// Which log it belongs to; 0 where none was ever heard.
    pub fn lineage(&self) -> u64 {
        self.lineage
    }

    /// Up to where everything was decided on.
    pub fn upto(&self) -> Index {
        self.upto
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// What is in force of a key, with its version.
    pub fn get(&self, key: &Key) -> Option<(Index, &Arc<[u8]>)> {
        let change = self.values.get(key)?.force.as_ref()?;
        Some((change.version, change.value.as_ref()?))
    }

    /// The newest version known of a key, in force or refused.
    pub fn version(&self, key: &Key) -> Option<Index> {
        self.values.get(key)?.newest().map(|change| change.version)
    }

    /// Everything that is in force.
    pub fn changes(&self) -> Vec<Change> {
        self.values.values().filter_map(|v| v.force.clone()).collect()
    }

    /// What was refused and is still the newest, and why: so many at most.
    pub fn refused(&self) -> Vec<Refusal> {
        let refused = self.refusing.iter().filter_map(|key| self.values.get(key)?.refused.as_ref());
        let told = |(change, why): &(Change, String)| {
            let why = why.chars().take(WHY).collect();
            Refusal { key: change.key.clone(), version: change.version, why }
        };
        refused.map(told).take(WORST).collect()
    }

    pub(crate) fn highest(&self) -> Index {
        self.highest
    }

    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// Everything is to be asked for anew; what is in force stays.
    pub(crate) fn rewind(&mut self) {
        self.upto = Index(0);
    }

    /// The log went on, and nothing of it is in the scope.
    pub(crate) fn pass(&mut self, upto: Index) {
        self.upto = self.upto.max(upto);
        self.highest = self.highest.max(upto);
    }

    fn toggle(&mut self, key: &Key) {
        let newest = self.values.get(key).and_then(Value::newest);
        if let Some(Change { version, value: Some(value), .. }) = newest {
            self.sum ^= part(key, *version, value);
        }
    }

    /// A change was decided on: in force, or refused, and why.
    pub(crate) fn put(&mut self, change: Change, why: Option<String>) {
        let key = change.key.clone();
        self.toggle(&key);
        let value = self.values.entry(key.clone()).or_insert(Value { force: None, refused: None });
        match why {
            Some(why) => value.refused = Some((change, why)),
            None => *value = Value { force: Some(change), refused: None },
        }
        match value.refused.is_some() {
            true => drop(self.refusing.insert(key.clone())),
            false => drop(self.refusing.remove(&key)),
        }
        if value.refused.is_none() && value.force.as_ref().is_none_or(|c| c.value.is_none()) {
            self.values.remove(&key);
        }
        self.toggle(&key);
    }

    /// Keys that a whole snapshot leaves out are held no more.
    pub(crate) fn begin(&mut self, lineage: u64) {
        let highest = if lineage == self.lineage { self.highest } else { Index(0) };
        *self = Held { lineage, highest, ..Held::default() };
    }

    /// What is in force of a key, to stay so in a snapshot of a log. A value of another log is older than all of this one.
    pub(crate) fn stays(&self, key: &Key, lineage: u64) -> Option<Change> {
        let mut force = self.values.get(key)?.force.clone()?;
        force.version = if lineage == self.lineage { force.version } else { Index(0) };
        Some(force)
    }

    /// Drops what lies outside of a scope.
    fn narrow(&mut self, scope: &Scope) {
        let outside: Vec<Key> = self.values.keys().filter(|key| !scope.holds(&key.topic)).cloned().collect();
        for key in outside {
            self.toggle(&key);
            self.values.remove(&key);
        }
    }

    /// From what was kept, for the scope as it is now. What was refused is asked for again, for the program may have learned to
    /// take it; and all of the scope, where that was another one.
    pub(crate) fn kept(stored: Stored, scope: &Scope) -> Held {
        let mut held = Held { lineage: stored.lineage, highest: stored.highest, ..Held::default() };
        let whole = stored.refused.is_empty() && stored.scope == *scope;
        held.upto = if whole { stored.upto } else { Index(0) };
        stored.entries.into_iter().for_each(|change| held.put(change, None));
        held.narrow(scope);
        held
    }

    pub(crate) fn store(&self, scope: &Scope) -> Vec<u8> {
        let refused = self.values.values().filter_map(|v| v.refused.as_ref());
        let refused = refused.map(|(change, why)| Refusal {
            key: change.key.clone(),
            version: change.version,
            why: why.clone(),
        });
        encode(&Stored {
            lineage: self.lineage,
            scope: scope.clone(),
            upto: self.upto,
            highest: self.highest,
            entries: self.changes(),
            refused: refused.collect(),
        })
    }
}
