//! The state that results from applying the configuration log: the newest value of each key.
//!
//! A catalogue is a deterministic state machine: replicas that have applied the same entries hold the same values.
mod chunks;
mod position;

pub use chunks::Chunk;
pub(crate) use position::LogPosition;

use crate::change::{Change, Class};
use crate::checksum::entry_checksum;
use crate::key::{Key, Topic};
use crate::scope::Scope;
use crate::write_batch::WriteBatch;
use cluster_types::Index;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

/// The maximum number of tombstones that are held for subscribers that still have the deleted keys; beyond it, the
/// oldest are dropped.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Clone, Debug)]
struct Entry {
    version: Index,
    class: Class,
    /// None for a tombstone, which marks a deleted key.
    value: Option<Arc<[u8]>>,
}

impl Entry {
    fn checksum(&self, key: &Key) -> u64 {
        entry_checksum(key, self.version, self.value.as_deref().unwrap_or_default())
    }

    fn value_bytes(&self) -> usize {
        self.value.as_ref().map_or(0, |value| value.len())
    }
}

#[derive(Clone, Debug, Default)]
struct TopicEntries {
    by_name: BTreeMap<Arc<str>, Entry>,
    /// The checksum over all entries, tombstones included.
    checksum: u64,
}

/// The newest value of each key.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    log_id: u64,
    applied: Index,
    floor: Index,
    topics: BTreeMap<Topic, TopicEntries>,
    /// The positions of all entries in log order, tombstones included.
    by_version: BTreeSet<LogPosition>,
    tombstones: BTreeSet<LogPosition>,
    value_bytes: usize,
}

/// The size of a catalogue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogueSize {
    /// Keys that have a value.
    pub keys: usize,
    /// The total size of all values.
    pub value_bytes: usize,
}

/// The changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince {
    /// The changes, in log order.
    Changes(Vec<Change>),
    /// The history does not reach back that far, or the changes exceed the requested size: a snapshot is needed.
    SnapshotRequired,
}

impl Catalogue {
    /// An empty catalogue of a log. Each log has its own id; 0 means that there is no log yet.
    pub fn new(log_id: u64) -> Catalogue {
        Catalogue { log_id, ..Catalogue::default() }
    }

    /// The log that it follows.
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The last applied log index.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The oldest version since which the history of changes is complete.
    pub fn floor(&self) -> Index {
        self.floor
    }

    /// The number of keys and the size of their values.
    pub fn size(&self) -> CatalogueSize {
        let keys = self.by_version.len() - self.tombstones.len();
        CatalogueSize { keys, value_bytes: self.value_bytes }
    }

    /// Applies a log entry and returns its changes. An entry that was applied before has no effect.
    pub fn apply(&mut self, version: Index, batch: &WriteBatch) -> Vec<Change> {
        if version <= self.applied {
            return vec![];
        }
        let changes: Vec<Change> = batch
            .puts
            .iter()
            .map(|put| Change { version, class: put.class, key: put.key.clone(), value: put.value.clone() })
            .collect();
        self.merge(&changes, version);
        changes
    }

    /// Merges changes from another catalogue, after which all changes up to and including `up_to` are applied.
    pub fn merge(&mut self, changes: &[Change], up_to: Index) {
        changes.iter().for_each(|change| self.put(change));
        self.advance(up_to);
        self.drop_old_tombstones();
    }

    /// Replaces all contents by a snapshot as of a version. There is no history before that version.
    pub fn restore(&mut self, log_id: u64, entries: &[Change], version: Index) {
        *self = Catalogue::new(log_id);
        self.merge(entries, version);
        self.floor = version;
    }

    /// Records that the log has reached a version without further changes to the catalogue.
    pub fn advance(&mut self, version: Index) {
        self.applied = self.applied.max(version);
    }

    fn put(&mut self, change: &Change) {
        let key = &change.key;
        let topic = self.topics.entry(key.topic.clone()).or_default();
        let old = topic.by_name.get(&key.name);
        // Changes may arrive in any order: an older value must not replace a newer one.
        if old.is_some_and(|old| old.version >= change.version) {
            return;
        }
        if let Some(old) = old {
            topic.checksum ^= old.checksum(key);
            self.value_bytes -= old.value_bytes();
            let position = LogPosition { version: old.version, key: key.clone() };
            self.by_version.remove(&position);
            self.tombstones.remove(&position);
        }
        let Change { version, class, value, .. } = change.clone();
        let entry = Entry { version, class, value };
        let position = LogPosition { version, key: key.clone() };
        topic.checksum ^= entry.checksum(key);
        self.value_bytes += entry.value_bytes();
        if entry.value.is_none() {
            self.tombstones.insert(position.clone());
        }
        self.by_version.insert(position);
        topic.by_name.insert(key.name.clone(), entry);
    }

    fn drop_old_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(oldest) = self.tombstones.pop_first() else { break };
            self.floor = self.floor.max(oldest.version);
            self.by_version.remove(&oldest);
            let LogPosition { version, key } = oldest;
            if let Some(topic) = self.topics.get_mut(&key.topic) {
                topic.by_name.remove(&key.name);
                topic.checksum ^= entry_checksum(&key, version, &[]);
            }
        }
    }

    /// The newest value of a key and its version; none where the key has no value.
    pub fn get(&self, key: &Key) -> Option<(Index, &Arc<[u8]>)> {
        let entry = self.entry(key)?;
        Some((entry.version, entry.value.as_ref()?))
    }

    fn entry(&self, key: &Key) -> Option<&Entry> {
        self.topics.get(&key.topic)?.by_name.get(&key.name)
    }

    /// The version of the first change in a scope after a version; none where there is none.
    pub fn next_change(&self, scope: &Scope, after: Index) -> Option<Index> {
        let mut later = self.positions_after(after);
        later.find(|position| scope.contains(&position.key.topic)).map(|position| position.version)
    }

    fn positions_after(&self, version: Index) -> impl Iterator<Item = &LogPosition> {
        let first = LogPosition::first_after(version);
        self.by_version.range((Bound::Included(first), Bound::Unbounded))
    }

    /// All changes in a scope after a version, if their total size is at most `max_bytes`.
    pub fn changes_since(&self, scope: &Scope, from: Index, max_bytes: usize) -> ChangesSince {
        if from < self.floor {
            return ChangesSince::SnapshotRequired;
        }
        let (mut changes, mut bytes) = (vec![], 0);
        for position in self.positions_after(from).filter(|position| scope.contains(&position.key.topic)) {
            let change = self.change_at(position);
            bytes += change.bytes();
            if bytes > max_bytes {
                return ChangesSince::SnapshotRequired;
            }
            changes.push(change);
        }
        ChangesSince::Changes(changes)
    }

    fn change_at(&self, position: &LogPosition) -> Change {
        let entry = self.entry(&position.key);
        Change {
            version: position.version,
            class: entry.map_or(Class::Configuration, |entry| entry.class),
            key: position.key.clone(),
            value: entry.and_then(|entry| entry.value.clone()),
        }
    }

    /// The checksum over all values in a scope, without tombstones.
    pub fn checksum(&self, scope: &Scope) -> u64 {
        let with_tombstones = match scope {
            Scope::Everything => combined_checksum(self.topics.values()),
            Scope::Topics(topics) => {
                combined_checksum(topics.iter().filter_map(|topic| self.topics.get(topic)))
            }
        };
        let tombstones = self.tombstones.iter().filter(|position| scope.contains(&position.key.topic));
        tombstones.fold(with_tombstones, |sum, LogPosition { version, key }| {
            sum ^ entry_checksum(key, *version, &[])
        })
    }
}

fn combined_checksum<'a>(topics: impl Iterator<Item = &'a TopicEntries>) -> u64 {
    topics.fold(0, |sum, topic| sum ^ topic.checksum)
}
