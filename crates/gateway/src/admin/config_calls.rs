//! Operators' calls about changes of configuration.
use crate::config_overlay::actor::ConfigOverlay;
use crate::config_overlay::effective::bytes;
use async_io::Timer;
use cluster_types::Index;
use config_distribution::{Class, GatewayRejection, Key, Put, Rejection, RolloutStatus, Topic, WriteBatch};
use coordination::changes::{Query, State, Told};
use coordination::{Call, ToAccord};
use futures_lite::future;
use serde::Deserialize;
use serde_json::{json, Value};
use std::time::Duration;

/// Where these calls are.
pub const FOLDER: &str = "/v1/changes";
/// A caller is answered within this time, whatever the hosts do.
const TIMEOUT: Duration = Duration::from_millis(1_700);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderIn {
    class: ClassIn,
    puts: Vec<PutIn>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClassIn {
    Configuration,
    Primary,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PutIn {
    topic: String,
    name: String,
    value: Value,
}

fn topic(text: &str) -> Option<Topic> {
    match text.split_once('/') {
        None if text == "fleet" => Some(Topic::Fleet),
        Some(("region", of)) => Some(Topic::Region(of.into())),
        Some(("zone", of)) => Some(Topic::Zone(of.into())),
        Some(("shard", of)) => of.parse().ok().map(Topic::Shard),
        Some(("volume", of)) => Some(Topic::Volume(of.into())),
        _ => None,
    }
}

/// An order from a body; else the key at fault.
fn read(body: &[u8]) -> Result<WriteBatch, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let read: OrderIn =
        serde_path_to_error::deserialize(&mut json).map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    let class = match read.class {
        ClassIn::Configuration => Class::Configuration,
        ClassIn::Primary => Class::Primary,
    };
    let mut order = WriteBatch::default();
    for (i, put) in read.puts.into_iter().enumerate() {
        let Some(topic) = topic(&put.topic) else {
            return Err(format!("puts[{i}].topic: must be fleet, region/R, zone/Z, shard/N or volume/V"));
        };
        if !put.value.is_object() && !put.value.is_null() {
            return Err(format!("puts[{i}].value: must be an object, or null to withdraw it"));
        }
        let value = (!put.value.is_null()).then(|| bytes(&put.value));
        order.puts.push(Put { class, key: Key::new(topic, &put.name), value });
    }
    order.check().map_err(|fault| fault.to_string())?;
    Ok(order)
}

/// The answer to a call under the folder.
pub async fn answer(
    config_overlay: Option<&ConfigOverlay>,
    coordination: Option<&coordination::Handle>,
    method: &str,
    target: &str,
    body: &[u8],
) -> Vec<u8> {
    let Some(config_overlay) = config_overlay else {
        return http::response(404, "Not Found", "changes: not in the configuration\n");
    };
    let rest = target.strip_prefix(FOLDER).unwrap_or_default();
    match (method, rest.strip_prefix('/').filter(|n| !n.is_empty()), coordination) {
        ("POST", None, Some(coordination)) if config_overlay.votes => order(coordination, body).await,
        ("POST", None, _) => {
            let what = if config_overlay.handle.control() { "a relay" } else { "a front" };
            let why =
                format!("this is {what} and has no vote: order where [accord] and changes.listen are\n");
            http::response(409, "Conflict", &why)
        }
        ("GET", None, _) => ask(config_overlay, Query::State).await,
        ("GET", Some(version), _) => match version.parse() {
            Ok(version) => ask(config_overlay, Query::Where(Index(version))).await,
            Err(_) => http::response(400, "Bad Request", "version: must be a number\n"),
        },
        _ => http::response(405, "Method Not Allowed", "GET the state, POST what changes it\n"),
    }
}

async fn within<T>(answer: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(TIMEOUT).await;
        None
    };
    future::or(answer, late).await
}

async fn order(coordination: &coordination::Handle, body: &[u8]) -> Vec<u8> {
    let order = match read(body) {
        Ok(order) => order,
        Err(why) => return http::response(400, "Bad Request", &format!("{why}\n")),
    };
    let (to, from) = async_channel::bounded(1);
    if !coordination.tell(ToAccord::Call(Call::Change(order), to)) {
        return http::response(503, "Service Unavailable", "too many calls wait\n");
    }
    match within(async { from.recv().await.ok() }).await {
        Some(coordination::Told::Yes(version)) => {
            http::response(200, "OK", &format!("{{\"version\":{version}}}\n"))
        }
        Some(coordination::Told::Unknown(why)) => http::response(400, "Bad Request", &why),
        Some(coordination::Told::No(why)) => http::response(409, "Conflict", &why),
        Some(coordination::Told::Late(_)) | None => {
            let why = "no majority of the voters could be reached: it may come yet; ordering it again does no harm\n";
            http::response(503, "Service Unavailable", why)
        }
    }
}

async fn ask(config_overlay: &ConfigOverlay, query: Query) -> Vec<u8> {
    let (to, from) = async_channel::bounded(1);
    let asked = config_overlay.handle.ask(query, to);
    match within(async { from.recv().await.ok().filter(|_| asked) }).await {
        Some(Told::Where(told)) => http::response(200, "OK", &format!("{}\n", not_yet(&told))),
        Some(Told::State(told)) => {
            http::response(200, "OK", &format!("{}\n", state(&told, config_overlay.passed_over())))
        }
        Some(Told::Elsewhere(relays)) => {
            let why = format!("this is a front and knows of no others: ask {}\n", relays.join(" or "));
            http::response(409, "Conflict", &why)
        }
        None => http::response(503, "Service Unavailable", "no answer in time\n"),
    }
}

fn refusal(refusal: &Rejection) -> Value {
    json!({ "key": refusal.key.to_string(), "version": refusal.version.0, "why": refusal.reason })
}

fn not_yet(told: &RolloutStatus) -> Value {
    let lag = |lag: &config_distribution::Lag| json!({ "front": lag.gateway, "owes": lag.first_pending.0, "why": lag.reason });
    let refused = |GatewayRejection { gateway, rejection }: &GatewayRejection| {
        let mut value = refusal(rejection);
        value["front"] = json!(gateway);
        value
    };
    json!({
        "everywhere": told.is_everywhere,
        "fronts": told.gateways,
        "lags": told.lags.iter().map(lag).collect::<Vec<_>>(),
        "more": told.unnamed_lagging,
        "relays_behind": told.lagging_relays,
        "relays_silent": told.silent_relays,
        "refused": told.rejections.iter().map(refused).collect::<Vec<_>>(),
        "refusing": told.rejecting,
    })
}

fn state(told: &State, passed_over: u64) -> Value {
    let counts: serde_json::Map<String, Value> =
        told.counts.iter().map(|(what, count)| (what.to_string(), json!(count))).collect();
    json!({
        "role": told.role,
        "lineage": told.lineage,
        "upto": told.upto.0,
        "follows": told.follows.as_ref().map(|relay| &*relay.0),
        "heard_s": told.heard.map(|span| (span.as_secs_f64() * 1000.0).round() / 1000.0),
        "refused": told.refused.iter().map(refusal).collect::<Vec<_>>(),
        "passed_over": passed_over,
        "counts": counts,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_order_is_understood_or_refused_with_its_key() {
        let good = br#"{"class":"primary","puts":[{"topic":"shard/3","name":"box","value":{"a":1}},
            {"topic":"zone/z","name":"settings","value":null}]}"#;
        let order = read(good).unwrap();
        assert_eq!(order.puts[0].key, Key::new(Topic::Shard(3), "box"));
        assert_eq!((order.puts[0].class, order.puts[1].value.clone()), (Class::Primary, None));
        for (body, key) in [
            (r#"{"class":"fast","puts":[]}"#, "class"),
            (r#"{"class":"primary","puts":[]}"#, "order"),
            (r#"{"class":"primary","puts":[{"topic":"hall/x","name":"a","value":{}}]}"#, "puts[0].topic"),
            (r#"{"class":"primary","puts":[{"topic":"fleet","name":"a","value":7}]}"#, "puts[0].value"),
            (r#"{"class":"primary","puts":[{"topic":"fleet","name":"a"}]}"#, "puts[0]"),
            (r#"{"class":"primary","puts":[{"topic":"fleet","name":"","value":null}]}"#, "fleet/"),
            (r#"{"class":"primary","by":1}"#, "by"),
        ] {
            let why = read(body.as_bytes()).unwrap_err();
            assert!(why.starts_with(key), "{body}: {why}");
        }
    }
}
