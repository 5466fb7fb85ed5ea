//! Keys, values, and what an operator orders.
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The longest name of a key, a region, a zone or a volume, in bytes.
pub const NAME: usize = 64;
/// The longest value, in bytes.
pub const VALUE: usize = 16 * 1024;
/// The most that one order may put.
pub const ORDER: usize = 256;

/// What a key belongs to; subscribers name the topics that they serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Every front.
    Fleet,
    /// The fronts of a region.
    Region(Arc<str>),
    /// The fronts of a zone.
    Zone(Arc<str>),
    /// Fronts that serve a shard.
    Shard(u32),
    /// Fronts that serve a volume.
    Volume(Arc<str>),
}

/// What a value is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// What it belongs to.
    pub topic: Topic,
    /// Its name there.
    pub name: Arc<str>,
}

impl Key {
    /// A key.
    pub fn new(topic: Topic, name: &str) -> Key {
        Key { topic, name: name.into() }
    }

    pub(crate) fn bounded(&self) -> bool {
        self.topic.bounded() && self.name.len() <= NAME
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.topic {
            Topic::Fleet => write!(f, "fleet/{}", self.name),
            Topic::Region(of) => write!(f, "region/{of}/{}", self.name),
            Topic::Zone(of) => write!(f, "zone/{of}/{}", self.name),
            Topic::Shard(of) => write!(f, "shard/{of}/{}", self.name),
            Topic::Volume(of) => write!(f, "volume/{of}/{}", self.name),
        }
    }
}

/// How soon a change has to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Settings, limits, volumes: gathered, the newest of each key wins.
    Configuration,
    /// A shard's box: ahead of everything.
    Primary,
}

/// A key's value as of a place in the log; none where it was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The place in the log.
    pub version: Index,
    /// How soon.
    pub class: Class,
    /// Which key.
    pub key: Key,
    /// Its value.
    pub value: Option<Arc<[u8]>>,
}

impl Change {
    /// What it takes in a message, near enough.
    pub fn bytes(&self) -> usize {
        24 + 2 * NAME.min(self.key.name.len()) + self.value.as_ref().map_or(0, |v| v.len())
    }
}

impl Topic {
    /// Whether its name has a proper length.
    pub(crate) fn bounded(&self) -> bool {
        match self {
            Topic::Fleet | Topic::Shard(_) => true,
            Topic::Region(of) | Topic::Zone(of) | Topic::Volume(of) => of.len() <= NAME,
        }
    }
}

impl Change {
    /// Whether its names and its value are no longer than an order's may be.
    pub(crate) fn bounded(&self) -> bool {
        let value = self.value.as_ref().is_none_or(|v| v.len() <= VALUE);
        value && self.key.bounded()
    }
}

/// One value that an order puts, or withdraws.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// How soon.
    pub class: Class,
    /// Which key.
    pub key: Key,
    /// Its value.
    pub value: Option<Arc<[u8]>>,
}

/// What is put in force together: one entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Each key once.
    pub puts: Vec<Put>,
}

/// Why an order can't go into the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key at fault.
    pub key: String,
    /// Why.
    pub why: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.why)
    }
}

/// Whether a region, a zone, a volume or a key may have that name.
pub fn proper(name: &str) -> bool {
    (1..=NAME).contains(&name.len()) && !name.chars().any(|c| c.is_control() || c == '/')
}

impl Order {
    /// Whether it may go into the log; else the key at fault.
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |key: String, why| Err(Fault { key, why });
        if self.puts.is_empty() || self.puts.len() > ORDER {
            return fault("order".into(), "one value at least, 256 at most");
        }
        let mut keys = std::collections::BTreeSet::new();
        for put in &self.puts {
            let topic = match &put.key.topic {
                Topic::Fleet | Topic::Shard(_) => true,
                Topic::Region(of) | Topic::Zone(of) | Topic::Volume(of) => proper(of),
            };
            if !topic || !proper(&put.key.name) {
                return fault(
                    put.key.to_string(),
                    "names have 1 to 64 bytes, no slash, nothing that can't be printed",
                );
            }
            if put.value.as_ref().is_some_and(|v| v.len() > VALUE) {
                return fault(put.key.to_string(), "a value has 16 KiB at most");
            }
            if !keys.insert(&put.key) {
                return fault(put.key.to_string(), "each key once");
            }
        }
        Ok(())
    }
}
