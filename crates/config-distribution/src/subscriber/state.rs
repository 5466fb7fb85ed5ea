//! What a subscriber holds: of each key the newest value, applied or rejected.
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

/// A value that was rejected, and why.
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
    /// What is applied; none where nothing ever was.
    applied: Option<Change>,
    /// The newest change, where it was rejected.
    rejected: Option<RejectedChange>,
}

impl Value {
    fn newest(&self) -> Option<&Change> {
        self.rejected.as_ref().map(|rejected| &rejected.change).or(self.applied.as_ref())
    }
}

/// The values that a subscriber holds of its scope.
#[derive(Clone, Debug, Default)]
pub struct SubscriberState {
    log_id: u64,
    up_to: Index,
    /// The greatest that `up_to` ever was: nothing older is accepted, not even when everything is requested again.
    highest: Index,
    values: BTreeMap<Key, Value>,
    checksum: u64,
    /// Keys whose newest value was rejected.
    rejected_keys: BTreeSet<Key>,
}

impl SubscriberState {
    /// The log that the values come from; 0 where no relay was followed yet.
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The version up to which everything was applied or rejected.
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

    /// The applied value of a key and its version; none where it has none.
    pub fn get(&self, key: &Key) -> Option<(Index, &Arc<[u8]>)> {
        let change = self.values.get(key)?.applied.as_ref()?;
        Some((change.version, change.value.as_ref()?))
    }

    /// The newest version known of a key, applied or rejected.
    pub fn version(&self, key: &Key) -> Option<Index> {
        self.values.get(key)?.newest().map(|change| change.version)
    }

    /// Everything that is applied.
    pub fn applied_entries(&self) -> Vec<Change> {
        self.values.values().filter_map(|value| value.applied.clone()).collect()
    }

    /// Values that were rejected and are still the newest of their keys, as many as a message has.
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

    /// Everything is to be requested again; what is applied stays.
    pub(crate) fn rewind(&mut self) {
        self.up_to = Index(0);
    }

    /// The log has reached a version, and nothing more of it is in the scope.
    pub(crate) fn advance(&mut self, up_to: Index) {
        self.up_to = self.up_to.max(up_to);
        self.highest = self.highest.max(up_to);
    }

    /// Adds a key's part to the checksum, or removes it.
    fn toggle_checksum(&mut self, key: &Key) {
        let newest = self.values.get(key).and_then(Value::newest);
        if let Some(Change { version, value: Some(value), .. }) = newest {
            self.checksum ^= entry_checksum(key, *version, value);
        }
    }

    /// A change was applied.
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

    /// A change was rejected; the value that is applied stays.
    pub(crate) fn record_rejected(&mut self, change: Change, reason: String) {
        let key = change.key.clone();
        self.toggle_checksum(&key);
        self.rejected_keys.insert(key.clone());
        self.values.entry(key.clone()).or_default().rejected = Some(RejectedChange { change, reason });
        self.toggle_checksum(&key);
    }

    /// Drops all values: those of a snapshot of a log follow.
    pub(crate) fn clear(&mut self, log_id: u64) {
        let highest = if log_id == self.log_id { self.highest } else { Index(0) };
        *self = SubscriberState { log_id, highest, ..SubscriberState::default() };
    }

    /// The applied value of a key as a value of a log. One that comes from another log is older than all of this one.
    pub(crate) fn applied_as_of(&self, key: &Key, log_id: u64) -> Option<Change> {
        let mut applied = self.values.get(key)?.applied.clone()?;
        if log_id != self.log_id {
            applied.version = Index(0);
        }
        Some(applied)
    }

    /// Drops values outside of a scope.
    fn narrow(&mut self, scope: &Scope) {
        let is_outside = |key: &&Key| !scope.contains(&key.topic);
        let outside: Vec<Key> = self.values.keys().filter(is_outside).cloned().collect();
        for key in outside {
            self.toggle_checksum(&key);
            self.values.remove(&key);
        }
    }

    /// From the persisted state, for the scope as it is now. What was rejected is requested again, because this program may
    /// accept it; so is the entire scope, where it was another one.
    pub(crate) fn from_persisted(persisted: PersistedState, scope: &Scope) -> SubscriberState {
        let PersistedState { log_id, highest, .. } = persisted;
        let mut state = SubscriberState { log_id, highest, ..SubscriberState::default() };
        if persisted.rejected.is_empty() && persisted.scope == *scope {
            state.up_to = persisted.up_to;
        }
        for entry in persisted.entries {
            state.record_applied(entry);
        }
        state.narrow(scope);
        state
    }

    /// The state in its persisted form.
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
