//! Collects the chunks of a snapshot until it is complete.
use crate::change::Change;
use crate::key::Key;
use cluster_types::Index;
use std::collections::BTreeMap;

/// The maximum number of keys in a snapshot.
const MAX_SNAPSHOT_KEYS: usize = 1 << 18;
/// The maximum size of a snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 28;

/// The received part of a snapshot.
#[derive(Debug)]
pub(super) struct Staging {
    /// The version as of the first chunk.
    pub base: Index,
    /// Whether the last chunk was received.
    pub is_complete: bool,
    bytes: usize,
    entries: BTreeMap<Key, Change>,
}

impl Staging {
    /// A snapshot as of a version, of which nothing has been received.
    pub fn new(base: Index) -> Staging {
        Staging { base, is_complete: false, bytes: 0, entries: BTreeMap::new() }
    }

    /// Whether `entries` more entries are within the limits of a snapshot.
    pub fn fits(&self, entries: usize) -> bool {
        self.entries.len() + entries <= MAX_SNAPSHOT_KEYS && self.bytes <= MAX_SNAPSHOT_BYTES
    }

    /// Adds the entries of a chunk.
    pub fn add_chunk(&mut self, entries: Vec<Change>, is_last: bool) {
        self.bytes += entries.iter().map(Change::bytes).sum::<usize>();
        self.add_changes(entries);
        self.is_complete = is_last;
    }

    /// Adds changes, keeping the newest of each key.
    pub fn add_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            let held = self.entries.get(&change.key);
            if held.is_none_or(|held| held.version < change.version) {
                self.entries.insert(change.key.clone(), change);
            }
        }
    }

    /// All entries, deletions included.
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }

    /// The values of the snapshot, without deletions.
    pub fn into_values(self) -> Vec<Change> {
        self.entries.into_values().filter(|change| change.value.is_some()).collect()
    }
}
