//! The one log, as the voters agreed on it, and what is put into it.
use cluster_types::{Index, Time};
use config_distribution::{Catalogue, Change, Class, Key, Order, Put, Topic};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Values that begin with this are refused by those who refuse.
pub const REFUSED: u8 = b'!';

pub struct Log {
    pub orders: Vec<(Time, Order)>,
    pub values: HashMap<(Key, Index), Option<Arc<[u8]>>>,
    /// Of each key, where it was put or withdrawn, and whether it was withdrawn.
    pub story: BTreeMap<Key, Vec<(Index, bool)>>,
    pub catalogue: Catalogue,
}

impl Log {
    pub fn new(lineage: u64) -> Log {
        let catalogue = Catalogue::new(lineage);
        Log { orders: vec![], values: HashMap::new(), story: BTreeMap::new(), catalogue }
    }

    pub fn last(&self) -> Index {
        Index(self.orders.len() as u64)
    }

    pub fn add(&mut self, now: Time, order: Order) -> Vec<Change> {
        order.check().unwrap();
        let version = Index(self.orders.len() as u64 + 1);
        for put in &order.puts {
            self.values.insert((put.key.clone(), version), put.value.clone());
            self.story.entry(put.key.clone()).or_default().push((version, put.value.is_none()));
        }
        let changes = self.catalogue.apply(version, &order);
        self.orders.push((now, order));
        changes
    }

    pub fn order(&self, version: Index) -> &(Time, Order) {
        &self.orders[version.0 as usize - 1]
    }

    /// Whether a key was withdrawn after a version.
    pub fn withdrawn_after(&self, key: &Key, version: Index) -> bool {
        self.story.get(key).is_some_and(|s| s.iter().any(|(v, gone)| *v > version && *gone))
    }
}

/// The keys that a run may put.
pub struct Universe {
    pub boxes: u32,
    pub volumes: u32,
    pub zones: usize,
    pub regions: usize,
}

impl Universe {
    pub fn primary(&self, random: &mut SmallRng) -> Order {
        let shard = random.random_range(0..self.boxes);
        let value = format!("box-{}-{}", random.random_range(0..1_000u32), random.random_range(0..1_000u32));
        let key = Key::new(Topic::Shard(shard), "box");
        Order { puts: vec![Put { class: Class::Primary, key, value: Some(value.as_bytes().into()) }] }
    }

    pub fn key(&self, random: &mut SmallRng) -> Key {
        let name = format!("setting-{}", random.random_range(0..3u32));
        let topic = match random.random_range(0..10) {
            0 => Topic::Fleet,
            1 => Topic::Region(region_name(random.random_range(0..self.regions)).as_str().into()),
            2 => Topic::Zone(zone_name(random.random_range(0..self.zones)).as_str().into()),
            3..7 => Topic::Volume(volume_name(random.random_range(0..self.volumes)).as_str().into()),
            _ => Topic::Shard(random.random_range(0..self.boxes)),
        };
        Key::new(topic, &name)
    }

    pub fn configuration(&self, random: &mut SmallRng, refused: f64) -> Order {
        let mut puts: BTreeMap<Key, Put> = BTreeMap::new();
        for _ in 0..random.random_range(1..=4) {
            let key = self.key(random);
            let mut bytes = vec![b'v'; random.random_range(8..200)];
            random.fill(&mut bytes[1..8]);
            bytes[0] = if random.random_bool(refused) { REFUSED } else { b'v' };
            let value = random.random_bool(0.9).then(|| bytes.into());
            puts.insert(key.clone(), Put { class: Class::Configuration, key, value });
        }
        Order { puts: puts.into_values().collect() }
    }
}

pub fn region_name(n: usize) -> String {
    format!("region-{n}")
}

pub fn zone_name(n: usize) -> String {
    format!("zone-{n}")
}

pub fn volume_name(n: u32) -> String {
    format!("{n:016x}")
}
