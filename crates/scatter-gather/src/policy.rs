//! The `[[gather]]` table of a configuration file. The file's keys are older than the names here and stay as they are.
use cluster_types::{BackendId, BlockRange, Volume, Zone};
use serde::de::{self, value::MapAccessDeserializer, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Which shard requests make an answer, and what happens when some get no response.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// The volume that a client names to get the answer.
    pub volume: Volume,
    /// The piece that a client asks for to get the answer (16 hex digits).
    pub piece: Arc<str>,
    /// The class of the shard requests; it must read only.
    pub class: Arc<str>,
    /// The shard requests, in the order in which their values are joined.
    #[serde(rename = "part", default)]
    pub requests: Vec<ShardRequest>,
    /// How many responses are needed.
    #[serde(rename = "suffices", default)]
    pub quorum: QuorumRule,
    /// The share of the time left for which remote zones are waited for; the reply margin is subtracted.
    #[serde(default = "default_remote_share")]
    pub remote_share: f64,
    /// The time that the answer takes back to the client: it is given that much before the client's deadline.
    #[serde(rename = "way_back_ms", default = "default_reply_margin_ms")]
    pub reply_margin_ms: u64,
    /// What is answered without a quorum.
    #[serde(rename = "otherwise", default)]
    pub partial_results: PartialResultPolicy,
    /// The most bytes of one response, unless its request has a limit of its own.
    #[serde(rename = "part_bytes", default = "default_max_response_bytes")]
    pub max_response_bytes: u64,
    /// The most bytes of all responses of one gather.
    #[serde(rename = "most_bytes", default = "default_max_total_bytes")]
    pub max_total_bytes: u64,
}

/// A request to one shard.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRequest {
    /// Its name within the gather.
    pub name: Arc<str>,
    /// The zone that has its data.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// Its volume; the gather's own where it is left out.
    #[serde(default)]
    pub volume: Option<Volume>,
    /// The piece asked for (16 hex digits). Either this or `blocks`.
    #[serde(default)]
    pub piece: Option<Arc<str>>,
    /// The blocks asked for. Either this or `piece`.
    #[serde(default)]
    pub blocks: Option<BlockRange>,
    /// The shard that has the data. Either this or `backend`.
    #[serde(default)]
    pub shard: Option<u32>,
    /// The backend that has the data, by discovery's `instanceId`. Either this or `shard`.
    #[serde(default, rename = "box")]
    pub backend: Option<BackendId>,
    /// The most bytes of the response; the gather's `max_response_bytes` where it is left out.
    #[serde(rename = "bytes", default)]
    pub max_response_bytes: Option<u64>,
}

/// What is answered without a quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum PartialResultPolicy {
    /// The responses that arrived, marked as partial, as long as all required ones are there.
    #[serde(rename = "in-part")]
    Allow,
    /// A failure.
    #[default]
    #[serde(rename = "fail")]
    Fail,
}

/// How many responses are needed. An answer that lacks a response is marked as partial even with a quorum.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum QuorumRule {
    /// Every response: `"all"`.
    #[default]
    All,
    /// All conditions of a table together.
    Conditions(QuorumConditions),
}

/// Conditions that must hold together.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuorumConditions {
    /// So many responses, whichever.
    pub at_least: Option<usize>,
    /// The responses to these requests; without one of them there is no answer, not even a partial one.
    #[serde(rename = "named")]
    pub required: Vec<Arc<str>>,
    /// This share of the responses of each zone, rounded up.
    #[serde(rename = "each_hall")]
    pub share_per_zone: Option<f64>,
}

impl<'de> Deserialize<'de> for QuorumRule {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(QuorumRuleVisitor)
    }
}

struct QuorumRuleVisitor;

impl<'de> Visitor<'de> for QuorumRuleVisitor {
    type Value = QuorumRule;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("\"all\" or a table with at_least, named or each_hall")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<QuorumRule, E> {
        match text {
            "all" => Ok(QuorumRule::All),
            _ => Err(E::invalid_value(de::Unexpected::Str(text), &self)),
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<QuorumRule, A::Error> {
        QuorumConditions::deserialize(MapAccessDeserializer::new(map)).map(QuorumRule::Conditions)
    }
}

fn default_remote_share() -> f64 {
    0.7
}

fn default_reply_margin_ms() -> u64 {
    20
}

fn default_max_response_bytes() -> u64 {
    64 << 10
}

fn default_max_total_bytes() -> u64 {
    1 << 20
}

impl Policy {
    /// The time that the answer takes back to the client.
    pub fn reply_margin(&self) -> Duration {
        Duration::from_millis(self.reply_margin_ms)
    }

    /// The most bytes of the response to a request.
    pub fn max_response_bytes(&self, request: usize) -> u64 {
        let own = self.requests.get(request).and_then(|request| request.max_response_bytes);
        own.unwrap_or(self.max_response_bytes)
    }

    /// The volume of a request.
    pub fn volume_of<'a>(&'a self, request: &'a ShardRequest) -> &'a Volume {
        request.volume.as_ref().unwrap_or(&self.volume)
    }

    /// How long remote zones are waited for: a share of the time left, less the reply margin.
    pub fn remote_wait(&self, left: Duration) -> Duration {
        let left_us = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
        // A share that is no number gives nothing: the cast turns it into 0.
        let wait_us = (left_us as f64 * self.remote_share.clamp(0.0, 1.0)) as u64;
        Duration::from_micros(wait_us).saturating_sub(self.reply_margin())
    }
}
