//! Operators' HTTP calls about the distributed configuration. Request and response bodies use the names of the public HTTP interface
//! (`front` for a gateway); this module maps them.
use crate::config_overlay::actor::ConfigOverlay;
use crate::config_overlay::effective::encode;
use async_io::Timer;
use cluster_types::Index;
use config_distribution::{
    Class, GatewayRejection, Key, Lag, Put, Rejection, RolloutStatus, Topic, WriteBatch, WriteBatchError,
};
use coordination::distribution::{DistributionStatus, Query, QueryResponse};
use coordination::{CoordinationMessage, OperatorCall, OperatorResponse};
use futures_lite::future;
use serde::Deserialize;
use serde_json::{json, Value};
use std::time::Duration;

/// The path prefix of these calls.
pub const PATH_PREFIX: &str = "/v1/changes";
/// The time within which a caller is answered, even if the voters or relays don't respond.
const TIMEOUT: Duration = Duration::from_millis(1_700);
/// The answer if the voters did not decide on a change in time.
const UNSETTLED: &str =
    "no majority of the voters could be reached: it may come yet; ordering it again does no harm\n";

/// The JSON body of a change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BatchBody {
    class: ClassName,
    puts: Vec<PutBody>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClassName {
    Configuration,
    Primary,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PutBody {
    topic: String,
    name: String,
    value: Value,
}

/// Why the body of a change is not valid; the text begins with the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The body is not the JSON of a change.
    #[error("{path}: {source}")]
    Json {
        /// The path of the key at fault.
        path: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A topic is unknown.
    #[error("puts[{0}].topic: must be fleet, region/R, zone/Z, shard/N or volume/V")]
    Topic(usize),
    /// A value is neither an object nor null.
    #[error("puts[{0}].value: must be an object, or null to withdraw it")]
    Value(usize),
    /// The batch as a whole is not valid.
    #[error(transparent)]
    Batch(#[from] WriteBatchError),
}

fn topic(text: &str) -> Option<Topic> {
    match text.split_once('/') {
        None if text == "fleet" => Some(Topic::Fleet),
        Some(("region", name)) => Some(Topic::Region(name.into())),
        Some(("zone", name)) => Some(Topic::Zone(name.into())),
        Some(("shard", number)) => number.parse().ok().map(Topic::Shard),
        Some(("volume", name)) => Some(Topic::Volume(name.into())),
        _ => None,
    }
}

/// Parses the body of a change.
///
/// # Errors
/// [`BatchError`], whose text begins with the key at fault.
pub fn parse(body: &[u8]) -> Result<WriteBatch, BatchError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed: BatchBody = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| BatchError::Json { path: error.path().to_string(), source: error.into_inner() })?;
    let class = match parsed.class {
        ClassName::Configuration => Class::Configuration,
        ClassName::Primary => Class::Primary,
    };
    let mut batch = WriteBatch::default();
    for (index, put) in parsed.puts.into_iter().enumerate() {
        let topic = topic(&put.topic).ok_or(BatchError::Topic(index))?;
        if !put.value.is_object() && !put.value.is_null() {
            return Err(BatchError::Value(index));
        }
        let value = (!put.value.is_null()).then(|| encode(&put.value));
        batch.puts.push(Put { class, key: Key::new(topic, &put.name), value });
    }
    batch.check()?;
    Ok(batch)
}

/// Answers a call below [`PATH_PREFIX`].
pub async fn answer(
    overlay: Option<&ConfigOverlay>,
    coordination: Option<&coordination::Handle>,
    method: &str,
    target: &str,
    body: &[u8],
) -> Vec<u8> {
    let Some(overlay) = overlay else {
        return http::response(404, "Not Found", "changes: not in the configuration\n");
    };
    let rest = target.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let version = rest.strip_prefix('/').filter(|version| !version.is_empty());
    match (method, version, coordination) {
        ("POST", None, Some(coordination)) if overlay.is_voter => change(coordination, body).await,
        ("POST", None, _) => {
            let role = if overlay.handle.serves_subscribers() { "a relay" } else { "a front" };
            let text =
                format!("this is {role} and has no vote: order where [accord] and changes.listen are\n");
            http::response(409, "Conflict", &text)
        }
        ("GET", None, _) => query(overlay, Query::Status).await,
        ("GET", Some(version), _) => match version.parse() {
            Ok(version) => query(overlay, Query::Rollout(Index(version))).await,
            Err(_) => http::response(400, "Bad Request", "version: must be a number\n"),
        },
        _ => http::response(405, "Method Not Allowed", "GET the state, POST what changes it\n"),
    }
}

async fn with_timeout<T>(answer: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let timed_out = async {
        Timer::after(TIMEOUT).await;
        None
    };
    future::or(answer, timed_out).await
}

/// Proposes a change to the voters, and answers with the version that it got.
async fn change(coordination: &coordination::Handle, body: &[u8]) -> Vec<u8> {
    let batch = match parse(body) {
        Ok(batch) => batch,
        Err(error) => return http::response(400, "Bad Request", &format!("{error}\n")),
    };
    let (response_sender, responses) = async_channel::bounded(1);
    if !coordination.send(CoordinationMessage::Call(OperatorCall::ChangeConfig(batch), response_sender)) {
        return http::response(503, "Service Unavailable", "too many calls wait\n");
    }
    match with_timeout(async { responses.recv().await.ok() }).await {
        Some(OperatorResponse::Done(version)) => {
            http::response(200, "OK", &format!("{{\"version\":{version}}}\n"))
        }
        Some(OperatorResponse::NotFound(text)) => http::response(400, "Bad Request", &text),
        Some(OperatorResponse::Rejected(text)) => http::response(409, "Conflict", &text),
        Some(OperatorResponse::Unsettled(_)) | None => http::response(503, "Service Unavailable", UNSETTLED),
    }
}

async fn query(overlay: &ConfigOverlay, query: Query) -> Vec<u8> {
    let (response_sender, responses) = async_channel::bounded(1);
    let is_sent = overlay.handle.ask(query, response_sender);
    match with_timeout(async { responses.recv().await.ok().filter(|_| is_sent) }).await {
        Some(QueryResponse::Rollout(rollout)) => {
            http::response(200, "OK", &format!("{}\n", rollout_json(&rollout)))
        }
        Some(QueryResponse::Status(status)) => {
            http::response(200, "OK", &format!("{}\n", status_json(&status, overlay.unknown_keys())))
        }
        Some(QueryResponse::AskRelays(relays)) => {
            let text = format!("this is a front and knows of no others: ask {}\n", relays.join(" or "));
            http::response(409, "Conflict", &text)
        }
        None => http::response(503, "Service Unavailable", "no answer in time\n"),
    }
}

fn rejection_json(rejection: &Rejection) -> Value {
    json!({ "key": rejection.key.to_string(), "version": rejection.version.0, "why": rejection.reason })
}

/// Encodes where a version has not taken effect yet.
fn rollout_json(rollout: &RolloutStatus) -> Value {
    let lag = |lag: &Lag| json!({ "front": lag.gateway, "owes": lag.first_pending.0, "why": lag.reason });
    let rejection = |GatewayRejection { gateway, rejection }: &GatewayRejection| {
        let mut value = rejection_json(rejection);
        value["front"] = json!(gateway);
        value
    };
    json!({
        "everywhere": rollout.is_complete,
        "fronts": rollout.gateways,
        "lags": rollout.lags.iter().map(lag).collect::<Vec<_>>(),
        "more": rollout.unnamed_lagging,
        "relays_behind": rollout.lagging_relays,
        "relays_silent": rollout.silent_relays,
        "refused": rollout.rejections.iter().map(rejection).collect::<Vec<_>>(),
        "refusing": rollout.rejecting,
    })
}

/// Encodes this gateway's view of the distributed configuration.
fn status_json(status: &DistributionStatus, unknown_keys: u64) -> Value {
    let counters: serde_json::Map<String, Value> =
        status.counters.iter().map(|(name, count)| (name.to_string(), json!(count))).collect();
    json!({
        "role": status.role,
        "lineage": status.log_id,
        "upto": status.decided_up_to.0,
        "follows": status.follows.as_ref().map(|relay| &*relay.0),
        "heard_s": status.since_relay_message.map(|span| (span.as_secs_f64() * 1000.0).round() / 1000.0),
        "refused": status.rejections.iter().map(rejection_json).collect::<Vec<_>>(),
        "passed_over": unknown_keys,
        "counts": counters,
    })
}
