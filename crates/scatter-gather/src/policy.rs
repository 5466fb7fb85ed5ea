//! The `[[gather]]` table of a configuration file. Its keys predate the Rust names and are kept for compatibility.
use cluster_types::{BackendId, BlockRange, Volume, Zone};
use serde::de::{self, value::MapAccessDeserializer, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The shard requests of an answer, and what to do when some get no response.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The policy's name, for logs and metrics.
    pub name: Arc<str>,
    /// The volume in the client's request for the answer.
    pub volume: Volume,
    /// The piece in the client's request for the answer (16 hex digits).
    pub piece: Arc<str>,
    /// The class of the shard requests; must be declared read-only.
    pub class: Arc<str>,
    /// The shard requests, in the order in which their values are concatenated.
    #[serde(rename = "part", default)]
    pub requests: Vec<ShardRequest>,
    /// How many responses are needed.
    #[serde(rename = "suffices", default)]
    pub quorum: QuorumRule,
    /// The fraction of the remaining time to wait for remote zones, before the reply margin is subtracted.
    #[serde(default = "default_remote_share")]
    pub remote_share: f64,
    /// Time reserved for the reply to reach the client: the answer is produced this long before the client's deadline.
    #[serde(rename = "way_back_ms", default = "default_reply_margin_ms")]
    pub reply_margin_ms: u64,
    /// What to answer without a quorum.
    #[serde(rename = "otherwise", default)]
    pub partial_results: PartialResultPolicy,
    /// The default limit on the size of one response, in bytes.
    #[serde(rename = "part_bytes", default = "default_max_response_bytes")]
    pub max_response_bytes: u64,
    /// The limit on the total size of a gather's responses, in bytes.
    #[serde(rename = "most_bytes", default = "default_max_total_bytes")]
    pub max_total_bytes: u64,
}

/// A request to one shard.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRequest {
    /// The request's name, unique within the gather.
    pub name: Arc<str>,
    /// The zone that holds the data.
    #[serde(rename = "hall")]
    pub zone: Zone,
    /// The volume; the gather's own if omitted.
    #[serde(default)]
    pub volume: Option<Volume>,
    /// The requested piece (16 hex digits). Exclusive with `blocks`; one is required.
    #[serde(default)]
    pub piece: Option<Arc<str>>,
    /// The requested blocks. Exclusive with `piece`; one is required.
    #[serde(default)]
    pub blocks: Option<BlockRange>,
    /// The shard that holds the data. Exclusive with `backend`; one is required.
    #[serde(default)]
    pub shard: Option<u32>,
    /// The backend that holds the data, by discovery's `instanceId`. Exclusive with `shard`; one is required.
    #[serde(default, rename = "box")]
    pub backend: Option<BackendId>,
    /// The limit on the response size in bytes; the gather's `max_response_bytes` if omitted.
    #[serde(rename = "bytes", default)]
    pub max_response_bytes: Option<u64>,
}

/// What to answer without a quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum PartialResultPolicy {
    /// The responses that arrived, marked as partial, provided that all required ones did.
    #[serde(rename = "in-part")]
    Allow,
    /// An error.
    #[default]
    #[serde(rename = "fail")]
    Fail,
}

/// How many responses are needed. An answer with a missing response is marked as partial even with a quorum.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum QuorumRule {
    /// Every response: `"all"`.
    #[default]
    All,
    /// A table of conditions.
    Conditions(QuorumConditions),
}

/// Conditions that must all hold.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuorumConditions {
    /// The minimum number of responses, from any of the requests.
    pub at_least: Option<usize>,
    /// Names of requests whose responses are required; without all of them there is not even a partial answer.
    #[serde(rename = "named")]
    pub required: Vec<Arc<str>>,
    /// The minimum fraction of each zone's responses, rounded up.
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
    /// Time reserved for the reply to reach the client.
    pub fn reply_margin(&self) -> Duration {
        Duration::from_millis(self.reply_margin_ms)
    }

    /// The limit on the size of the response to a request, in bytes.
    pub fn max_response_bytes(&self, request: usize) -> u64 {
        let request_limit = self.requests.get(request).and_then(|request| request.max_response_bytes);
        request_limit.unwrap_or(self.max_response_bytes)
    }

    /// The volume of a request: its own, or else the gather's.
    pub fn volume_of<'a>(&'a self, request: &'a ShardRequest) -> &'a Volume {
        request.volume.as_ref().unwrap_or(&self.volume)
    }

    /// How long to wait for remote zones: a fraction of the remaining time, minus the reply margin.
    pub fn remote_wait(&self, remaining: Duration) -> Duration {
        let remaining_us = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        // A NaN share gives no wait: the cast turns NaN into 0.
        let wait_us = (remaining_us as f64 * self.remote_share.clamp(0.0, 1.0)) as u64;
        Duration::from_micros(wait_us).saturating_sub(self.reply_margin())
    }
}
