//! What an operator writes in a `[[gather]]` table.
use cluster_types::{BackendId, BlockRange, Volume, Zone};
use serde::de::{self, value::MapAccessDeserializer, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// One tier: which parts make an answer, and what becomes of it when some don't come.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Its name, for logs and figures.
    pub name: Arc<str>,
    /// The volume that a client names to get it.
    pub volume: Volume,
    /// The piece that a client asks for to get it (16 hex digits).
    pub piece: Arc<str>,
    /// The class of the parts' requests; it must read only.
    pub class: Arc<str>,
    /// The parts, in the order in which their values are joined.
    #[serde(rename = "part", default)]
    pub parts: Vec<Part>,
    /// What suffices.
    #[serde(default)]
    pub suffices: Suffices,
    /// The share of the time left for which remote halls are waited for; the way back is taken off.
    #[serde(default = "share")]
    pub remote_share: f64,
    /// What the way back to the client takes: an answer is out so long before the client stops waiting.
    #[serde(default = "way_back")]
    pub way_back_ms: u64,
    /// What then, where it does not suffice.
    #[serde(default)]
    pub otherwise: Otherwise,
    /// The bytes that one part's value has at most, where the part does not say it itself.
    #[serde(default = "part_bytes")]
    pub part_bytes: u64,
    /// The bytes that all values of one gather have at most.
    #[serde(default = "most_bytes")]
    pub most_bytes: u64,
}

/// One part: a request of its own.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Its name within the gather.
    pub name: Arc<str>,
    /// The hall in which its data stands.
    pub hall: Zone,
    /// Its volume; the gather's own where it is left out.
    #[serde(default)]
    pub volume: Option<Volume>,
    /// The piece asked for (16 hex digits). This or `blocks`.
    #[serde(default)]
    pub piece: Option<Arc<str>>,
    /// The blocks asked for. This or `piece`.
    #[serde(default)]
    pub blocks: Option<BlockRange>,
    /// The shard that holds it. This or `box`.
    #[serde(default)]
    pub shard: Option<u32>,
    /// The box that holds it, by discovery's `instanceId`. This or `shard`.
    #[serde(default, rename = "box")]
    pub at: Option<BackendId>,
    /// The bytes that its value has at most; the gather's `part_bytes` where it is left out.
    #[serde(default)]
    pub bytes: Option<u64>,
}

/// What then, where it does not suffice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Otherwise {
    /// What has come, told as a part, as long as all named parts are there.
    InPart,
    /// An honest failure.
    #[default]
    Fail,
}

/// What suffices for an answer. One that lacks a part is told as a part even where it suffices.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Suffices {
    /// Every part: `"all"`.
    #[default]
    All,
    /// All conditions of a table together.
    Needs(Needs),
}

/// Conditions that must hold together.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Needs {
    /// So many parts, whichever.
    pub at_least: Option<usize>,
    /// These parts; without one of them nothing is an answer.
    pub named: Vec<Arc<str>>,
    /// This share of the parts of each hall, rounded up.
    pub each_hall: Option<f64>,
}

impl<'de> Deserialize<'de> for Suffices {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Read;
        impl<'de> Visitor<'de> for Read {
            type Value = Suffices;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("\"all\" or a table with at_least, named or each_hall")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Suffices, E> {
                match text {
                    "all" => Ok(Suffices::All),
                    _ => Err(E::invalid_value(de::Unexpected::Str(text), &self)),
                }
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Suffices, A::Error> {
                Needs::deserialize(MapAccessDeserializer::new(map)).map(Suffices::Needs)
            }
        }
        from.deserialize_any(Read)
    }
}

fn share() -> f64 {
    0.7
}

fn way_back() -> u64 {
    20
}

fn part_bytes() -> u64 {
    64 << 10
}

fn most_bytes() -> u64 {
    1 << 20
}

impl Policy {
    /// What the way back to the client takes.
    pub fn way_back(&self) -> Duration {
        Duration::from_millis(self.way_back_ms)
    }

    /// The bytes that a part's value has at most.
    pub fn bytes(&self, part: usize) -> u64 {
        self.parts.get(part).and_then(|p| p.bytes).unwrap_or(self.part_bytes)
    }

    /// The volume of a part's request.
    pub fn volume_of<'a>(&'a self, part: &'a Part) -> &'a Volume {
        part.volume.as_ref().unwrap_or(&self.volume)
    }

    /// For how long remote halls are waited for: a share of the time left, less what the way back takes.
    pub fn remote_wait(&self, left: Duration) -> Duration {
        let micros = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        // A share that is no number gives nothing, for a cast never fails.
        let share = (micros as f64 * self.remote_share.clamp(0.0, 1.0)) as u64;
        Duration::from_micros(share).saturating_sub(self.way_back())
    }
}
