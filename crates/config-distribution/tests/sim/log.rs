//! The log on which the voters have agreed, and random writes to it.
use cluster_types::{Index, Time};
use config_distribution::{Catalogue, Class, Key, Put, Topic, WriteBatch};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Values that begin with this byte are rejected by some hosts.
pub const REJECTED_MARK: u8 = b'!';

pub struct LogEntry {
    pub written_at: Time,
    pub batch: WriteBatch,
}

/// A write of one key.
pub struct Write {
    pub version: Index,
    pub is_deletion: bool,
}

pub struct Log {
    entries: Vec<LogEntry>,
    pub values: HashMap<(Key, Index), Option<Arc<[u8]>>>,
    /// All writes of each key.
    pub history: BTreeMap<Key, Vec<Write>>,
    pub catalogue: Catalogue,
}

impl Log {
    pub fn new(log_id: u64) -> Log {
        let catalogue = Catalogue::new(log_id);
        Log { entries: vec![], values: HashMap::new(), history: BTreeMap::new(), catalogue }
    }

    pub fn last_version(&self) -> Index {
        Index(self.entries.len() as u64)
    }

    pub fn append(&mut self, now: Time, batch: WriteBatch) {
        batch.check().unwrap();
        let version = Index(self.last_version().0 + 1);
        for put in &batch.puts {
            self.values.insert((put.key.clone(), version), put.value.clone());
            let write = Write { version, is_deletion: put.value.is_none() };
            self.history.entry(put.key.clone()).or_default().push(write);
        }
        self.catalogue.apply(version, &batch);
        self.entries.push(LogEntry { written_at: now, batch });
    }

    pub fn entry(&self, version: Index) -> &LogEntry {
        &self.entries[version.0 as usize - 1]
    }

    /// Whether a key was deleted after a version.
    pub fn is_deleted_after(&self, key: &Key, version: Index) -> bool {
        let writes = self.history.get(key);
        writes.is_some_and(|writes| writes.iter().any(|write| write.version > version && write.is_deletion))
    }
}

/// The keys that a simulation may write.
pub struct KeySpace {
    pub shards: u32,
    pub volumes: u32,
    pub zones: usize,
    pub regions: usize,
}

impl KeySpace {
    pub fn random_primary(&self, random: &mut SmallRng) -> WriteBatch {
        let shard = random.random_range(0..self.shards);
        let value = format!("box-{}-{}", random.random_range(0..1_000u32), random.random_range(0..1_000u32));
        let key = Key::new(Topic::Shard(shard), "box");
        WriteBatch { puts: vec![Put { class: Class::Primary, key, value: Some(value.as_bytes().into()) }] }
    }

    pub fn random_key(&self, random: &mut SmallRng) -> Key {
        let name = format!("setting-{}", random.random_range(0..3u32));
        let topic = match random.random_range(0..10) {
            0 => Topic::Fleet,
            1 => Topic::Region(region_name(random.random_range(0..self.regions)).as_str().into()),
            2 => Topic::Zone(zone_name(random.random_range(0..self.zones)).as_str().into()),
            3..7 => Topic::Volume(volume_name(random.random_range(0..self.volumes)).as_str().into()),
            _ => Topic::Shard(random.random_range(0..self.shards)),
        };
        Key::new(topic, &name)
    }

    /// A random batch of settings; each value is marked with a probability.
    pub fn random_configuration(&self, random: &mut SmallRng, marked_probability: f64) -> WriteBatch {
        let mut puts: BTreeMap<Key, Put> = BTreeMap::new();
        for _ in 0..random.random_range(1..=4) {
            let key = self.random_key(random);
            let mut bytes = vec![b'v'; random.random_range(8..200)];
            random.fill(&mut bytes[1..8]);
            bytes[0] = if random.random_bool(marked_probability) { REJECTED_MARK } else { b'v' };
            let value = random.random_bool(0.9).then(|| bytes.into());
            puts.insert(key.clone(), Put { class: Class::Configuration, key, value });
        }
        WriteBatch { puts: puts.into_values().collect() }
    }
}

pub fn region_name(number: usize) -> String {
    format!("region-{number}")
}

pub fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

pub fn volume_name(number: u32) -> String {
    format!("{number:016x}")
}
