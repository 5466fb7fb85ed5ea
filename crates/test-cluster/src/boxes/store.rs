//! What boxes hold: for each volume and piece or block the value, and every booking that has run.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// What a read of something that was never written gives.
pub const NEVER_WRITTEN: &[u8] = b"-";

/// A volume, and the number of a piece or block on it.
pub type Key = (String, u64);

/// What a box holds; boxes that share their disks share it.
pub type Shelf = Arc<Mutex<Store>>;

/// The values.
#[derive(Clone, Debug, Default)]
pub struct Store {
    values: BTreeMap<Key, Arc<[u8]>>,
    run: BTreeMap<Key, Vec<Arc<[u8]>>>,
    /// How often everything was lost.
    pub losses: u32,
}

impl Store {
    /// Writes a value.
    pub fn write(&mut self, key: Key, value: Arc<[u8]>) {
        self.run.entry(key.clone()).or_default().push(value.clone());
        self.values.insert(key, value);
    }

    /// The value that stands there.
    pub fn read(&self, key: &Key) -> Option<Arc<[u8]>> {
        self.values.get(key).cloned()
    }

    /// Whether the value was written there since all was lost, be it overwritten later or not.
    pub fn has_run(&self, key: &Key, value: &[u8]) -> bool {
        self.run.get(key).is_some_and(|all| all.iter().any(|v| **v == *value))
    }

    /// All that stands there, in order.
    pub fn values(&self) -> impl Iterator<Item = (&Key, &Arc<[u8]>)> {
        self.values.iter()
    }

    /// Loses everything.
    pub fn lose(&mut self) {
        *self = Store { losses: self.losses + 1, ..Store::default() };
    }
}
