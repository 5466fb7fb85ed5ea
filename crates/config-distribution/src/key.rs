//! Topics and the keys in them.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The longest name of a key, a region, a zone or a volume, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A group of keys. Subscribers request the topics that concern them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Every gateway.
    Fleet,
    /// The gateways of a region.
    Region(Arc<str>),
    /// The gateways of a zone.
    Zone(Arc<str>),
    /// The gateways that serve a shard.
    Shard(u32),
    /// The gateways that serve a volume.
    Volume(Arc<str>),
}

impl Topic {
    /// Whether its name is within the length limit.
    pub(crate) fn is_bounded(&self) -> bool {
        match self {
            Topic::Fleet | Topic::Shard(_) => true,
            Topic::Region(name) | Topic::Zone(name) | Topic::Volume(name) => name.len() <= MAX_NAME_BYTES,
        }
    }

    /// Whether its name is allowed in a write.
    pub(crate) fn is_valid(&self) -> bool {
        match self {
            Topic::Fleet | Topic::Shard(_) => true,
            Topic::Region(name) | Topic::Zone(name) | Topic::Volume(name) => is_valid_name(name),
        }
    }
}

/// The name of a configuration value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The topic that it belongs to.
    pub topic: Topic,
    /// Its name within the topic.
    pub name: Arc<str>,
}

impl Key {
    /// The key with a given name in a topic.
    pub fn new(topic: Topic, name: &str) -> Key {
        Key { topic, name: name.into() }
    }

    /// Whether its names are within the length limit.
    pub(crate) fn is_bounded(&self) -> bool {
        self.topic.is_bounded() && self.name.len() <= MAX_NAME_BYTES
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.topic {
            Topic::Fleet => write!(f, "fleet/{}", self.name),
            Topic::Region(region) => write!(f, "region/{region}/{}", self.name),
            Topic::Zone(zone) => write!(f, "zone/{zone}/{}", self.name),
            Topic::Shard(shard) => write!(f, "shard/{shard}/{}", self.name),
            Topic::Volume(volume) => write!(f, "volume/{volume}/{}", self.name),
        }
    }
}

/// Whether a name is allowed for a region, a zone, a volume or a key.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(|char| char.is_control() || char == '/')
}
