//! The state of a subscriber: the newest value of each key, applied or rejected.
use crate::change::Change;
use crate::checksum::entry_checksum;
use crate::key::Key;
use crate::persisted::{encode, PersistedState};
use crate::rejection::{Rejection, MAX_REASON_CHARS};
use crate::report::MAX_REPORTED_GATEWAYS;
use crate::scope::Scope;
use cluster_types::Index;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A rejected change, with the reason.
#[derive(Clone, Debug)]
struct RejectedChange {
    change: Change,
    reason: String,
}

impl RejectedChange {
    fn to_rejection(&self, reason: String) -> Rejection {
        Rejection { key: self.change.key.clone(), version: self.change.version, reason }
    }
}

#[derive(Clone, Debug, Default)]
struct Value {
    /// The applied value; none if no value was ever applied.
    applied: Option<Change>,
    /// The newest change, if it was rejected.
    rejected: Option<RejectedChange>,
}

impl Value {
    fn newest(&self) -> Option<&Change> {
        self.rejected.as_ref().map(|rejected| &rejected.change).or(self.applied.as_ref())
    }
}

/// The values of a subscriber's scope.
#[derive(Clone, Debug, Default)]
pub struct SubscriberState {
    log_id: u64,
    up_to: Index,
    /// The greatest value that `up_to` ever had: nothing older is accepted, not even after a rewind.
    highest: Index,
    values: BTreeMap<Key, Value>,
    checksum: u64,
    /// Keys whose newest value was rejected.
    rejected_keys: BTreeSet<Key>,
}

impl SubscriberState {
    /// The log that the values come from; 0 if no relay was followed yet.
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The version up to which all changes were applied or rejected.
    pub fn up_to(&self) -> Index {
        self.up_to
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// The applied value of a key and its version; none if it has no value.
    pub fn get(&self, key: &Key) -> Option<(Index, &Arc<[u8]>)> {
        let change = self.values.get(key)?.applied.as_ref()?;
        Some((change.version, change.value.as_ref()?))
    }

    /// The newest known version of a key, applied or rejected.
    pub fn version(&self, key: &Key) -> Option<Index> {
        self.values.get(key)?.newest().map(|change| change.version)
    }

    /// All applied values.
    pub fn applied_entries(&self) -> Vec<Change> {
        self.values.values().filter_map(|value| value.applied.clone()).collect()
    }

    /// Rejected values that are still the newest of their keys, as many as fit into a message.
    pub fn rejections(&self) -> Vec<Rejection> {
        let rejected = self.rejected_keys.iter().filter_map(|key| self.values.get(key)?.rejected.as_ref());
        let shortened = |rejected: &RejectedChange| {
            rejected.to_rejection(rejected.reason.chars().take(MAX_REASON_CHARS).collect())
        };
        rejected.map(shortened).take(MAX_REPORTED_GATEWAYS).collect()
    }

    pub(crate) fn highest(&self) -> Index {
        self.highest
    }

    pub(crate) fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Makes the next subscription request everything again; the applied values are kept.
    pub(crate) fn rewind(&mut self) {
        self.up_to = Index(0);
    }

    /// Records that the log has reached a version without further changes in the scope.
    pub(crate) fn advance(&mut self, up_to: Index) {
        self.up_to = self.up_to.max(up_to);
        self.highest = self.highest.max(up_to);
    }

    /// Adds a key's newest value to the checksum, or removes it.
    fn toggle_checksum(&mut self, key: &Key) {
        let newest = self.values.get(key).and_then(Value::newest);
        if let Some(Change { version, value: Some(value), .. }) = newest {
            self.checksum ^= entry_checksum(key, *version, value);
        }
    }

    /// Records an applied change.
    pub(crate) fn record_applied(&mut self, change: Change) {
        let key = change.key.clone();
        self.toggle_checksum(&key);
        self.rejected_keys.remove(&key);
        if change.value.is_some() {
            self.values.insert(key.clone(), Value { applied: Some(change), rejected: None });
        } else {
            self.values.remove(&key);
        }
        self.toggle_checksum(&key);
    }

    /// Records a rejected change; the applied value is kept.
    pub(crate) fn record_rejected(&mut self, change: Change, reason: String) {
        let key = change.key.clone();
        self.toggle_checksum(&key);
        self.rejected_keys.insert(key.clone());
        self.values.entry(key.clone()).or_default().rejected = Some(RejectedChange { change, reason });
        self.toggle_checksum(&key);
    }

    /// Drops all values, before those of a snapshot of a log are recorded.
    pub(crate) fn clear(&mut self, log_id: u64) {
        let highest = if log_id == self.log_id { self.highest } else { Index(0) };
        *self = SubscriberState { log_id, highest, ..SubscriberState::default() };
    }

    /// The applied value of a key, with a version of the given log. A value from another log counts as older than all values
    /// of this one.
    pub(crate) fn applied_as_of(&self, key: &Key, log_id: u64) -> Option<Change> {
        let mut applied = self.values.get(key)?.applied.clone()?;
        if log_id != self.log_id {
            applied.version = Index(0);
        }
        Some(applied)
    }

    /// Drops values outside a scope.
    fn restrict_to(&mut self, scope: &Scope) {
        let is_outside = |key: &&Key| !scope.contains(&key.topic);
        let outside: Vec<Key> = self.values.keys().filter(is_outside).cloned().collect();
        for key in outside {
            self.toggle_checksum(&key);
            self.values.remove(&key);
        }
    }

    /// Restores a persisted state for the current scope. Everything is requested again if values were rejected, because this
    /// release may accept them, or if the scope has changed.
    pub(crate) fn from_persisted(persisted: PersistedState, scope: &Scope) -> SubscriberState {
        let PersistedState { log_id, highest, .. } = persisted;
        let mut state = SubscriberState { log_id, highest, ..SubscriberState::default() };
        if persisted.rejected.is_empty() && persisted.scope == *scope {
            state.up_to = persisted.up_to;
        }
        for entry in persisted.entries {
            state.record_applied(entry);
        }
        state.restrict_to(scope);
        state
    }

    /// Encodes the state for the disk.
    pub(crate) fn to_persisted(&self, scope: &Scope) -> Vec<u8> {
        let rejected = self.values.values().filter_map(|value| value.rejected.as_ref());
        encode(&PersistedState {
            log_id: self.log_id,
            scope: scope.clone(),
            up_to: self.up_to,
            highest: self.highest,
            entries: self.applied_entries(),
            rejected: rejected.map(|rejected| rejected.to_rejection(rejected.reason.clone())).collect(),
        })
    }
}
