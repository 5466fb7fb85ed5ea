//! Data of backends: the value of each piece or block of a volume, and all writes that were executed.
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// What a read of a piece or block returns that was never written.
pub const NEVER_WRITTEN: &[u8] = b"-";

/// A volume, and the number of a piece or block on it.
pub type Key = (String, u64);

/// The data of a backend; backends that share their storage hold the same one.
pub type SharedStore = Arc<Mutex<Store>>;

/// The stored values.
#[derive(Clone, Debug, Default)]
pub struct Store {
    values: BTreeMap<Key, Arc<[u8]>>,
    written_values: BTreeMap<Key, Vec<Arc<[u8]>>>,
    /// How often all data was lost.
    pub clear_count: u32,
}

impl Store {
    /// Writes a value.
    pub fn write(&mut self, key: Key, value: Arc<[u8]>) {
        self.written_values.entry(key.clone()).or_default().push(value.clone());
        self.values.insert(key, value);
    }

    /// The current value.
    pub fn read(&self, key: &Key) -> Option<Arc<[u8]>> {
        self.values.get(key).cloned()
    }

    /// Whether the value was written since the data was last lost, even if it has been overwritten.
    pub fn was_written(&self, key: &Key, value: &[u8]) -> bool {
        self.written_values.get(key).is_some_and(|all| all.iter().any(|v| **v == *value))
    }

    /// All current values, ordered by key.
    pub fn values(&self) -> impl Iterator<Item = (&Key, &Arc<[u8]>)> {
        self.values.iter()
    }

    /// Loses all data.
    pub fn clear(&mut self) {
        *self = Store { clear_count: self.clear_count + 1, ..Store::default() };
    }
}
